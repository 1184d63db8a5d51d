"""Guards against forged, unauthenticated and oversized requests."""

from dataclasses import replace

import pytest

from crocusproxy.console.failed_sign_ins import MAX_FAILED_SIGN_INS
from tests.console.harness import Form, with_console


async def status_of_refused_post(browser, platform, path, form, **headers):
    """Return the status of a post that must not append a change."""
    appends = platform.appends
    await browser.post(path, form, **headers)
    assert platform.appends == appends
    return browser.status


@with_console
async def test_cross_site_post_is_refused(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    for origin in ('http://evil.example', 'null', '', browser.origin + '1'):
        status = await status_of_refused_post(
            browser, platform, '/publish', form, Origin=origin
        )
        assert status == 403, origin
    await browser.publish(form)
    assert 'Accepted' in browser.page


@with_console
async def test_cross_site_sign_in_is_refused(platform, open_browser):
    browser = await open_browser('')
    form = {'token': 'secret-a'}
    foreign_origin = {'Origin': 'http://evil.example'}
    assert (
        await status_of_refused_post(
            browser, platform, '/sign-in', form, **foreign_origin
        )
        == 403
    )
    assert not browser.client.session.cookie_jar


@with_console
async def test_missing_form_token_is_refused(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    form.pop('form_token')
    assert (
        await status_of_refused_post(browser, platform, '/publish', form) == 403
    )
    assert 'form_token_invalid' in browser.page


@with_console
async def test_form_token_of_another_session_is_refused(platform, open_browser):
    browser, other = await open_browser(), await open_browser('luz')
    form = await browser.preview(homes='2')
    assert (
        await status_of_refused_post(other, platform, '/publish', form) == 403
    )


@with_console
async def test_pages_and_changes_require_a_session(platform, open_browser):
    signed_in, anonymous = await open_browser(), await open_browser('')
    form = await signed_in.preview(homes='2')
    for path in ('/', '/services/redaccion', '/history', '/burn', '/nope'):
        assert 'Operator token' in await anonymous.get(path)
    assert (
        await status_of_refused_post(anonymous, platform, '/publish', form)
        == 403
    )
    await signed_in.post('/sign-out', form)
    assert (
        await status_of_refused_post(signed_in, platform, '/publish', form)
        == 403
    )


@with_console
async def test_inputs_survive_the_end_of_the_session(platform, open_browser):
    """Sessions end with a restart of the console."""
    browser = await open_browser()
    form = await browser.fill('/services/redaccion', homes='2 or so')
    platform.daemon.console.sessions.sessions.clear()
    await browser.post('/preview', form)
    assert browser.status == 403
    sign_in_form = Form(browser.page, '/sign-in').inputs
    await browser.post('/sign-in', sign_in_form | {'token': 'guess'})
    sign_in_form = Form(browser.page, '/sign-in').inputs
    await browser.post('/sign-in', sign_in_form | {'token': 'secret-a'})
    kept_form = Form(browser.page, '/preview').inputs
    assert kept_form['form_token'] != form['form_token']
    assert kept_form == form | {'form_token': kept_form['form_token']}
    platform.daemon.console.sessions.sessions.clear()
    deletion = {'base': '1', 'name': 'redaccion'}
    await browser.post('/delete', deletion)
    assert Form(browser.page, '/sign-in').inputs.keys() == {
        'operator',
        'token',
    }


@with_console
async def test_failed_sign_ins_are_limited_with_a_retry_after_header(
    platform, open_browser
):
    browser = await open_browser('')
    for _ in range(MAX_FAILED_SIGN_INS):
        await browser.post('/sign-in', {'token': 'guess'})
        assert browser.status == 403
    await browser.sign_in()
    assert browser.status == 429
    assert browser.response.headers['Retry-After'] == '60'
    sign_in_form = {'operator': 'ana', 'token': 'secret-a'}
    await browser.post('/sign-in', sign_in_form)
    assert browser.status == 200


@with_console
async def test_scripts_and_other_sites_cannot_read_the_cookie(
    platform, open_browser
):
    browser = await open_browser('')
    console = platform.daemon.console
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
async def test_every_response_forbids_scripts_frames_and_caching(
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
async def test_oversized_or_non_form_body_is_refused(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    large_form = form | {'deadline': 'x' * 1024 * 1024}
    assert (
        await status_of_refused_post(browser, platform, '/publish', large_form)
        == 413
    )
    many_fields = form | {
        f'upstreams.{number}.name': '' for number in range(9000)
    }
    assert (
        await status_of_refused_post(browser, platform, '/publish', many_fields)
        == 413
    )
    json_content = {'Content-Type': 'application/json'}
    assert (
        await status_of_refused_post(
            browser, platform, '/publish', '{}', **json_content
        )
        == 415
    )


@with_console
async def test_internal_error_is_a_page_without_details(platform, open_browser):
    browser = await open_browser()
    platform.daemon.follower.view = None
    page = await browser.get('/burn')
    assert browser.status == 500
    assert 'AttributeError' not in page


@pytest.mark.parametrize('path', ['/publish', '/delete', '/preview', '/edit'])
def test_form_without_hidden_fields_is_refused(path):
    @with_console
    async def check(platform, open_browser):
        browser = await open_browser()
        form = await browser.preview(homes='2')
        incomplete_form = {'form_token': form['form_token']}
        assert (
            await status_of_refused_post(
                browser, platform, path, incomplete_form
            )
            == 400
        )

    check()
