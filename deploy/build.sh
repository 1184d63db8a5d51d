# Installs the locked dependencies into target/deps unless they are up to date,
# and copies the package next to them.
set -eu
stamp=target/deps/.installed
if ! [ "$stamp" -nt deploy/requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps \
        -r deploy/requirements.lock
    # Unchecked bytecode loads faster: it is not compared with its source.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
    touch "$stamp"
fi
rm -rf target/deps/crocusproxy
cp -r src/crocusproxy target/deps/crocusproxy
# The processes can't write bytecode, so each start would compile again.
python3 -m compileall -q --invalidation-mode unchecked-hash \
    target/deps/crocusproxy
