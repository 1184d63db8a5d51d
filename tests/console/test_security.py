"""Guards against changes by other sites, strangers and oversized forms."""

from dataclasses import replace

import pytest

from crocusproxy.console.sessions import MAX_FAILURES
from tests.console.harness import Form, with_console


async def refused(browser, platform, path, form, **headers):
    appends = platform.appends
    await browser.post(path, form, **headers)
    assert platform.appends == appends
    return browser.status


@with_console
async def test_a_cross_site_post_is_refused(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    for origin in ('http://evil.example', 'null', '', browser.origin + '1'):
        status = await refused(
            browser, platform, '/publish', form, Origin=origin
        )
        assert status == 403, origin
    await browser.publish(form)
    assert 'Accepted' in browser.page


@with_console
async def test_a_cross_site_sign_in_is_refused(platform, open_browser):
    browser = await open_browser('')
    form = {'token': 'secret-a'}
    other = {'Origin': 'http://evil.example'}
    assert await refused(browser, platform, '/sign-in', form, **other) == 403
    assert not browser.client.session.cookie_jar


@with_console
async def test_a_missing_form_token_is_refused(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    form.pop('form_token')
    assert await refused(browser, platform, '/publish', form) == 403
    assert 'form_token_invalid' in browser.page


@with_console
async def test_a_form_token_of_another_session_is_refused(
    platform, open_browser
):
    browser, other = await open_browser(), await open_browser('luz')
    form = await browser.preview(homes='2')
    assert await refused(other, platform, '/publish', form) == 403


@with_console
async def test_nothing_is_shown_or_done_without_a_session(
    platform, open_browser
):
    signed_in, stranger = await open_browser(), await open_browser('')
    form = await signed_in.preview(homes='2')
    for path in ('/', '/services/redaccion', '/history', '/burn', '/nope'):
        assert 'Operator token' in await stranger.get(path)
    assert await refused(stranger, platform, '/publish', form) == 403
    await signed_in.post('/sign-out', form)
    assert await refused(signed_in, platform, '/publish', form) == 403


@with_console
async def test_what_was_typed_outlives_the_session(platform, open_browser):
    """Sessions end with a restart of the console."""
    browser = await open_browser()
    form = await browser.fill('/services/redaccion', homes='2 or so')
    platform.console.console.sessions.sessions.clear()
    await browser.post('/preview', form)
    assert browser.status == 403
    again = Form(browser.page, '/sign-in').inputs
    await browser.post('/sign-in', again | {'token': 'guess'})
    again = Form(browser.page, '/sign-in').inputs
    await browser.post('/sign-in', again | {'token': 'secret-a'})
    kept = Form(browser.page, '/preview').inputs
    assert kept['form_token'] != form['form_token']
    assert kept == form | {'form_token': kept['form_token']}
    platform.console.console.sessions.sessions.clear()
    deletion = {'base': '1', 'name': 'redaccion'}
    await browser.post('/delete', deletion)
    assert Form(browser.page, '/sign-in').inputs.keys() == {'token'}


@with_console
async def test_sign_in_is_limited_and_tells_when_to_try_again(
    platform, open_browser
):
    browser = await open_browser('')
    for _ in range(MAX_FAILURES):
        await browser.post('/sign-in', {'token': 'guess'})
        assert browser.status == 403
    await browser.sign_in()
    assert browser.status == 429
    assert browser.response.headers['Retry-After'] == '60'


@with_console
async def test_scripts_and_other_sites_cannot_read_the_cookie(
    platform, open_browser
):
    browser = await open_browser('')
    console = platform.console.console
    console.settings = replace(console.settings, secure_cookies=True)
    response = await browser.client.post(
        '/sign-in',
        data={'token': 'secret-a'},
        headers={'Origin': browser.origin},
        allow_redirects=False,
    )
    cookie = response.headers['Set-Cookie']
    assert cookie.startswith('__Host-')
    for attribute in ('HttpOnly', 'Secure', 'SameSite=Strict', 'Path=/'):
        assert attribute in cookie


@with_console
async def test_every_response_forbids_scripts_frames_and_storing(
    platform, open_browser
):
    browser = await open_browser('')
    paths = ('/sign-in', '/static/console.css', '/healthz', '/nope')
    for path in paths:
        response = await browser.client.get(path, allow_redirects=False)
        policy = response.headers['Content-Security-Policy']
        assert "default-src 'none'" in policy
        assert "frame-ancestors 'none'" in policy
        assert response.headers['Cache-Control'] == 'no-store'
        # A stricter policy makes browsers send forms with Origin: null.
        assert response.headers['Referrer-Policy'] == 'same-origin'


@with_console
async def test_an_oversized_or_strange_body_is_refused(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    large = form | {'deadline': 'x' * 1024 * 1024}
    assert await refused(browser, platform, '/publish', large) == 413
    many = form | {f'upstreams.{number}.name': '' for number in range(9000)}
    assert await refused(browser, platform, '/publish', many) == 413
    text = {'Content-Type': 'application/json'}
    assert await refused(browser, platform, '/publish', '{}', **text) == 415


@with_console
async def test_a_failure_of_the_console_is_a_page_without_details(
    platform, open_browser
):
    browser = await open_browser()
    platform.console.follower.view = None
    page = await browser.get('/burn')
    assert browser.status == 500
    assert 'AttributeError' not in page


@pytest.mark.parametrize('path', ['/publish', '/delete', '/preview', '/edit'])
def test_a_form_without_hidden_fields_is_refused(path):
    @with_console
    async def check(platform, open_browser):
        browser = await open_browser()
        form = await browser.preview(homes='2')
        bare = {'form_token': form['form_token']}
        assert await refused(browser, platform, path, bare) == 400

    check()
