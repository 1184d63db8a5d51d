"""Guards against changes that are lost, duplicated or not as previewed."""

import asyncio

from crocusproxy.errors import AppendUnknownError
from tests.console.harness import Form, with_console


async def current_document(platform):
    return await platform.daemon.console.change_publisher.current_document()


@with_console
async def test_preview_shows_fields_before_and_after(platform, open_browser):
    browser = await open_browser()
    inputs = {'upstreams__1__slots': '4', 'upstreams__3__name': 'redaccion-9'}
    form = await browser.fill('/services/redaccion', homes='2', **inputs)
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
async def test_submission_records_its_operator(platform, open_browser):
    browser = await open_browser('luz')
    await browser.publish(await browser.preview(homes='2'))
    assert 'generation 2' in browser.page
    assert platform.streams['config'].records[-1]['data']['operator'] == 'luz'
    await browser.get('/history')
    assert '<td>luz</td><td>accepted as generation 2</td>' in browser.page


@with_console
async def test_invalid_field_keeps_its_input_and_shows_the_fault(
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
async def test_document_fault_is_shown_at_its_field(platform, open_browser):
    browser = await open_browser()
    inputs = {'upstreams__0__slots': '0', 'upstreams__2__address': 'host:80'}
    form = await browser.fill('/services/redaccion', homes='0', **inputs)
    await browser.post('/preview', form)
    for path in ('homes', 'upstreams.0.slots', 'upstreams.2.address'):
        assert f'id="{path}-fault"' in browser.page
    assert Form(browser.page, '/preview').inputs == form


@with_console
async def test_markup_in_inputs_is_escaped(platform, open_browser):
    browser = await open_browser()
    markup = '"><script>alert(1)</script>'
    form = await browser.fill('/services/redaccion', deadline=markup)
    await browser.post('/preview', form)
    assert '<script' not in browser.page
    assert Form(browser.page, '/preview').inputs['deadline'] == markup


@with_console
async def test_concurrent_clicks_and_a_reload_publish_once(
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
async def test_conflict_shows_current_and_typed_values(platform, open_browser):
    ana, luz = await open_browser(), await open_browser('luz')
    form = await ana.preview(homes='2', queue='100')
    await luz.publish(await luz.preview(homes='5'))
    await ana.publish(form)
    assert ana.status == 409
    row = 'Homes</th><td class="old">5</td><td class="new">2<'
    assert 'Current value' in ana.page
    assert row in ana.page
    new_form = Form(ana.page, '/preview').inputs
    assert new_form['homes'] == '2'
    await ana.post('/preview', new_form)
    assert row in ana.page
    await ana.publish(Form(ana.page, '/publish').inputs)
    assert 'The change is generation 3' in ana.page
    service = (await current_document(platform)).services['redaccion']
    assert (service.homes, service.queue) == (2, 100)


@with_console
async def test_change_before_the_preview_is_a_conflict(platform, open_browser):
    ana, luz = await open_browser(), await open_browser('luz')
    form = await ana.fill('/services/redaccion', queue='100')
    await luz.publish(await luz.preview(homes='5'))
    await ana.post('/preview', form)
    assert ana.status == 409
    assert 'Homes</th><td class="old">5</td><td class="new">3<' in ana.page


@with_console
async def test_change_of_another_service_needs_only_a_new_confirmation(
    platform, open_browser
):
    ana, luz = await open_browser(), await open_browser('luz')
    form = await ana.preview(homes='2')
    await luz.publish(await luz.preview('/services', name='teletipo'))
    await ana.publish(form)
    assert ana.status == 409
    new_form = Form(ana.page, '/publish').inputs
    assert new_form['submission'] != form['submission']
    await ana.publish(new_form)
    assert 'The change is generation 3' in ana.page


@with_console
async def test_new_service_does_not_replace_an_existing_one(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.fill('/services', name='redaccion')
    await browser.post('/preview', form)
    assert browser.status == 422
    assert 'Expected a name not in use' in browser.page


@with_console
async def test_lost_append_response_still_shows_the_verdict(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    platform.faults.lose_answers = 1
    await browser.publish(form)
    assert 'The change is generation 2' in browser.page
    assert platform.appends == 2


@with_console
async def test_unknown_outcome_links_to_its_lookup(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    client = platform.daemon.console.change_publisher.publisher.client
    append = client.append

    async def append_and_fail(*record):
        await append(*record)
        platform.faults.outage = True
        raise AppendUnknownError('connection lost')

    client.append = append_and_fail
    await browser.publish(form)
    link = f'/submissions/{form["submission"]}'
    assert 'Not known yet' in browser.page
    assert f'href="{link}"' in browser.page
    assert 'Platform not reachable' in await browser.get(link)
    platform.faults.outage = False
    assert 'The change is generation 2' in await browser.get(link)


@with_console
async def test_submission_without_a_record_is_not_known_yet(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    await browser.get(f'/submissions/{form["submission"]}')
    assert 'Not known yet' in browser.page


@with_console
async def test_outage_publishes_nothing_and_keeps_the_change(
    platform, open_browser
):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    platform.faults.outage = True
    await browser.publish(form)
    assert browser.status == 503
    assert 'This attempt changed nothing' in browser.page
    new_form = Form(browser.page, '/publish').inputs
    assert new_form == form
    platform.faults.outage = False
    await browser.publish(new_form)
    assert 'The change is generation 2' in browser.page


@with_console
async def test_outage_during_the_preview_keeps_inputs(platform, open_browser):
    browser = await open_browser()
    form = await browser.fill('/services/redaccion', homes='2')
    platform.faults.outage = True
    await browser.post('/preview', form)
    assert browser.status == 503
    assert Form(browser.page, '/preview').inputs == form


@with_console
async def test_only_the_previewed_change_is_published(platform, open_browser):
    browser = await open_browser()
    form = await browser.preview(homes='2')
    for changed_fields in (
        {'homes': '9'},
        {'base': '0'},
        {'submission': f's{0:032}'},
        {'upstreams.7.name': 'other'},
    ):
        await browser.publish(form | changed_fields)
        assert browser.status == 403
    assert platform.appends == 1


@with_console
async def test_confirmed_deletion_removes_service_and_upstreams(
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
    current = await current_document(platform)
    assert not current.services
    assert not current.upstreams


@with_console
async def test_deletion_is_confirmed_again_after_a_conflict(
    platform, open_browser
):
    ana, luz = await open_browser(), await open_browser('luz')
    form = Form(await ana.get('/services/redaccion/delete'), '/delete').inputs
    await luz.publish(await luz.preview(homes='5'))
    await ana.post('/delete', form)
    assert ana.status == 409
    assert 'Homes</th><td class="old">5</td>' in ana.page
    assert 'redaccion' in (await current_document(platform)).services
