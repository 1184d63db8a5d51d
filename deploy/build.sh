# Installs the locked dependencies into target/deps, unless they are there, and
# copies the package beside them.
set -eu
stamp=target/deps/.installed
if ! [ "$stamp" -nt deploy/requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps \
        -r deploy/requirements.lock
    # Compiled files that are not compared with their sources load faster.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
    touch "$stamp"
fi
rm -rf target/deps/crocusproxy
cp -r src/crocusproxy target/deps/crocusproxy
# The processes can't write, so without this each start would compile anew.
python3 -m compileall -q --invalidation-mode unchecked-hash \
    target/deps/crocusproxy
