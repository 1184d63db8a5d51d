"""Guards against changes that are lost, doubled or not what was previewed."""

import asyncio

from crocusproxy.errors import AppendUnknownError
from tests.console.harness import Form, with_console


async def document(platform):
    return await platform.console.console.desk.current()


@with_console
async def test_a_preview_names_field_before_and_after(platform, open_browser):
    browser = await open_browser()
    typed = {'upstreams__1__slots': '4', 'upstreams__3__name': 'redaccion-9'}
    form = await browser.fill('/services/redaccion', homes='2', **typed)
    await browser.post('/preview', form)
    for row in (
        '"row">Homes</th><td class="old">3</td><td class="new">2<',
        'redaccion-2: slots</th><td class="old">2</td><td class="new">4<',
        'redaccion-4</th><td class="old">127.0.0.1:9104, slu-oeste, 2 slots<',
        'redaccion-9</th><td class="old">none</td><td class="new">127.0.0.1:91',
    ):
        assert row in browser.page
    assert platform.appends == 1


@with_console
async def test_a_publication_names_its_operator(platform, open_browser):
    browser = await open_browser('luz')
    await browser.publish(await browser.preview(homes='2'))
    assert 'generation 2' in browser.page
    assert platform.streams['config'].records[-1]['data']['operator'] == 'luz'
    await browser.get('/history')
    assert '<td>luz</td><td>accepted as generation 2</td>' in browser.page


@with_console
async def test_a_wrong_field_keeps_the_text_and_is_named(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.fill(
        '/services/redaccion', deadline='2 parsecs', homes='5'
    )
    await browser.post('/preview', form)
    assert browser.status == 422
    assert Form(browser.page, '/preview').inputs == form
    assert 'id="deadline-fault">Expected a duration' in browser.page


@with_console
async def test_a_rule_of_the_document_is_reported_at_the_field(
    platform, open_browser
):
    browser = await open_browser()
    typed = {'upstreams__0__slots': '0', 'upstreams__2__address': 'host:80'}
    form = await browser.fill('/services/redaccion', homes='0', **typed)
    await browser.post('/preview', form)
    for place in ('homes', 'upstreams.0.slots', 'upstreams.2.address'):
        assert f'id="{place}-fault"' in browser.page
    assert Form(browser.page, '/preview').inputs == form


@with_console
async def test_typed_markup_stays_text(platform, open_browser):
    browser = await open_browser()
    typed = '"><script>alert(1)</script>'
    form = await browser.fill('/services/redaccion', deadline=typed)
    await browser.post('/preview', form)
    assert '<script' not in browser.page
    assert Form(browser.page, '/preview').inputs['deadline'] == typed


@with_console
async def test_two_clicks_at_once_and_a_reload_publish_once(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    headers = {'Origin': browser.origin}
    responses = await asyncio.gather(
        *(
            browser.client.post('/publish', data=form, headers=headers)
            for _ in range(2)
        )
    )
    for response in responses:
        assert 'The change is generation 2' in await response.text()
    await browser.publish(form)
    assert 'The change is generation 2' in browser.page
    assert platform.appends == 2


@with_console
async def test_a_conflict_shows_what_is_in_force_beside_what_was_typed(
    platform, open_browser
):
    ana, luz = await open_browser(), await open_browser('luz')
    form = await ana.preview(homes='2', queue='100')
    await luz.publish(await luz.preview(homes='5'))
    await ana.publish(form)
    assert ana.status == 409
    row = 'Homes</th><td class="old">5</td><td class="new">2<'
    assert 'In force now' in ana.page
    assert row in ana.page
    again = Form(ana.page, '/preview').inputs
    assert again['homes'] == '2'
    await ana.post('/preview', again)
    assert row in ana.page
    await ana.publish(Form(ana.page, '/publish').inputs)
    assert 'The change is generation 3' in ana.page
    service = (await document(platform)).services['redaccion']
    assert (service.homes, service.queue) == (2, 100)


@with_console
async def test_a_change_before_the_preview_is_also_a_conflict(
    platform, open_browser
):
    ana, luz = await open_browser(), await open_browser('luz')
    form = await ana.fill('/services/redaccion', queue='100')
    await luz.publish(await luz.preview(homes='5'))
    await ana.post('/preview', form)
    assert ana.status == 409
    assert 'Homes</th><td class="old">5</td><td class="new">3<' in ana.page


@with_console
async def test_a_change_of_another_service_asks_only_for_another_click(
    platform, open_browser
):
    ana, luz = await open_browser(), await open_browser('luz')
    form = await ana.preview(homes='2')
    await luz.publish(await luz.preview('/services', name='teletipo'))
    await ana.publish(form)
    assert ana.status == 409
    again = Form(ana.page, '/publish').inputs
    assert again['submission'] != form['submission']
    await ana.publish(again)
    assert 'The change is generation 3' in ana.page


@with_console
async def test_a_new_service_does_not_replace_one_of_the_same_name(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.fill('/services', name='redaccion')
    await browser.post('/preview', form)
    assert browser.status == 422
    assert 'Expected a name not in use' in browser.page


@with_console
async def test_a_lost_append_response_is_shown_as_what_it_became(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    platform.faults.lose_answers = 1
    await browser.publish(form)
    assert 'The change is generation 2' in browser.page
    assert platform.appends == 2


@with_console
async def test_an_unknown_result_links_to_what_it_becomes(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    client = platform.console.console.desk.publisher.client
    append = client.append

    async def append_and_lose_the_platform(*record):
        await append(*record)
        platform.faults.outage = True
        raise AppendUnknownError('connection lost')

    client.append = append_and_lose_the_platform
    await browser.publish(form)
    link = f'/submissions/{form["submission"]}'
    assert 'Not known yet' in browser.page
    assert f'href="{link}"' in browser.page
    assert 'Platform not reachable' in await browser.get(link)
    platform.faults.outage = False
    assert 'The change is generation 2' in await browser.get(link)


@with_console
async def test_a_submission_without_a_record_is_not_known(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    await browser.get(f'/submissions/{form["submission"]}')
    assert 'Not known yet' in browser.page


@with_console
async def test_an_outage_changes_nothing_and_keeps_the_change(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    platform.faults.outage = True
    await browser.publish(form)
    assert browser.status == 503
    assert 'This attempt changed nothing' in browser.page
    again = Form(browser.page, '/publish').inputs
    assert again == form
    platform.faults.outage = False
    await browser.publish(again)
    assert 'The change is generation 2' in browser.page


@with_console
async def test_an_outage_keeps_what_was_typed_for_the_preview(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.fill('/services/redaccion', homes='2')
    platform.faults.outage = True
    await browser.post('/preview', form)
    assert browser.status == 503
    assert Form(browser.page, '/preview').inputs == form


@with_console
async def test_only_what_was_previewed_is_published(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    for changed in (
        {'homes': '9'},
        {'base': '0'},
        {'submission': f's{0:032}'},
        {'upstreams.7.name': 'other'},
    ):
        await browser.publish(form | changed)
        assert browser.status == 403
    assert platform.appends == 1


@with_console
async def test_a_deletion_is_confirmed_and_removes_the_upstreams(
    platform, open_browser
):
    browser = await open_browser()
    page = await browser.get('/services/redaccion/delete')
    assert 'redaccion-4</th><td class="old">127.0.0.1:9104' in page
    form = Form(page, '/delete').inputs
    await browser.post('/publish', form)
    assert platform.appends == 1
    for _ in range(2):
        await browser.post('/delete', form)
        assert 'The change is generation 2' in browser.page
    found = await document(platform)
    assert not found.services
    assert not found.upstreams


@with_console
async def test_a_deletion_is_confirmed_again_after_another_change(
    platform, open_browser
):
    ana, luz = await open_browser(), await open_browser('luz')
    form = Form(await ana.get('/services/redaccion/delete'), '/delete').inputs
    await luz.publish(await luz.preview(homes='5'))
    await ana.post('/delete', form)
    assert ana.status == 409
    assert 'Homes</th><td class="old">5</td>' in ana.page
    assert 'redaccion' in (await document(platform)).services
