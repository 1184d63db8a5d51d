"""Guards against pages that need scripts or that assistive tools misread."""

from html.parser import HTMLParser

from crocusproxy.membership.view import Instance, InstanceView
from tests.console.harness import EXAMPLE, Form, with_console

VOID = {'input', 'link', 'meta', 'rect', 'line'}


class Markup(HTMLParser):
    """What a page declares, and which of its tags are not closed in order."""

    def __init__(self, page):
        super().__init__()
        self.open, self.ids, self.labelled, self.references = [], [], [], []
        self.unlabelled, self.forbidden, self.unclosed = [], [], []
        self.feed(page)

    def handle_starttag(self, tag, attributes):
        given = dict(attributes)
        if tag not in VOID:
            self.open.append(tag)
        self.ids += [given['id']] if 'id' in given else []
        self.labelled += [given['for']] if 'for' in given else []
        self.references += (given.get('aria-describedby') or '').split()
        if tag == 'input' and given.get('type') != 'hidden':
            if 'aria-label' not in given:
                self.unlabelled.append(given['id'])
        if tag in {'script', 'style'} or 'style' in given:
            self.forbidden.append(tag)
        self.forbidden += [name for name in given if name.startswith('on')]

    def handle_startendtag(self, tag, attributes):
        self.handle_starttag(tag, attributes)

    def handle_endtag(self, tag):
        if tag not in VOID and self.open.pop() != tag:
            self.unclosed.append(tag)


def check(page):
    found = Markup(page)
    assert page.startswith('<!doctype html>')
    assert not found.unclosed + found.open
    assert len(found.ids) == len(set(found.ids))
    assert set(found.references) <= set(found.ids)
    assert set(found.unlabelled) == set(found.labelled)
    assert not found.forbidden


@with_console
async def test_pages_are_well_formed_labelled_and_free_of_scripts(
    platform, open_browser
):
    check(await (await open_browser('')).get('/sign-in'))
    browser = await open_browser()
    follower = platform.console.follower
    follower.document = EXAMPLE
    follower.view = InstanceView(
        1, (Instance('i7', 'fd1', 'live', '', '127.0.0.1:9', '', ''),)
    )
    service = '/services/redaccion'
    for path in ('/', '/services', service, '/history', '/burn', '/nope'):
        check(await browser.get(path))
    wrong = {'homes': '0', 'upstreams__1__slots': 'x'}
    await browser.post('/preview', await browser.fill(service, **wrong))
    check(browser.page)
    first, second = [await browser.preview(homes=one) for one in '24']
    check(browser.page)
    for form in (first, second):
        check(await browser.publish(form))
    assert browser.status == 409
    deletion = Form(await browser.get(f'{service}/delete'), '/delete').inputs
    check(browser.page)
    platform.faults.outage = True
    check(await browser.post('/delete', deletion))
    check(await browser.get('/'))
