"""Guards against pages that need scripts or break assistive technology."""

from html.parser import HTMLParser

from crocusproxy.membership.view import Instance, InstanceView
from tests.console.harness import EXAMPLE, Form, with_console

VOID = {'input', 'link', 'meta', 'rect', 'line'}


class Markup(HTMLParser):
    """Collects the ids, labels and references of a page, and markup faults."""

    def __init__(self, page):
        super().__init__()
        self.open, self.ids, self.labelled, self.references = [], [], [], []
        self.unlabelled, self.forbidden, self.misnested = [], [], []
        self.feed(page)

    def handle_starttag(self, tag, attributes):
        attrs = dict(attributes)
        if tag not in VOID:
            self.open.append(tag)
        self.ids += [attrs['id']] if 'id' in attrs else []
        self.labelled += [attrs['for']] if 'for' in attrs else []
        self.references += (attrs.get('aria-describedby') or '').split()
        if tag == 'input' and attrs.get('type') != 'hidden':
            if 'aria-label' not in attrs:
                self.unlabelled.append(attrs['id'])
        if tag in {'script', 'style'} or 'style' in attrs:
            self.forbidden.append(tag)
        self.forbidden += [name for name in attrs if name.startswith('on')]

    def handle_startendtag(self, tag, attributes):
        self.handle_starttag(tag, attributes)

    def handle_endtag(self, tag):
        if tag not in VOID and self.open.pop() != tag:
            self.misnested.append(tag)


def check_markup(page):
    markup = Markup(page)
    assert page.startswith('<!doctype html>')
    assert not markup.misnested + markup.open
    assert len(markup.ids) == len(set(markup.ids))
    assert set(markup.references) <= set(markup.ids)
    assert set(markup.unlabelled) == set(markup.labelled)
    assert not markup.forbidden


@with_console
async def test_pages_are_well_formed_labelled_and_free_of_scripts(
    platform, open_browser
):
    check_markup(await (await open_browser('')).get('/sign-in'))
    browser = await open_browser()
    follower = platform.console.follower
    follower.document = EXAMPLE
    follower.view = InstanceView(
        1, (Instance('i7', 'fd1', 'live', '', '127.0.0.1:9', '', ''),)
    )
    service = '/services/redaccion'
    for path in ('/', '/services', service, '/history', '/burn', '/nope'):
        check_markup(await browser.get(path))
    invalid_inputs = {'homes': '0', 'upstreams__1__slots': 'x'}
    await browser.post(
        '/preview', await browser.fill(service, **invalid_inputs)
    )
    check_markup(browser.page)
    first, second = [await browser.preview(homes=homes) for homes in '24']
    check_markup(browser.page)
    for form in (first, second):
        check_markup(await browser.publish(form))
    assert browser.status == 409
    deletion = Form(await browser.get(f'{service}/delete'), '/delete').inputs
    check_markup(browser.page)
    platform.faults.outage = True
    check_markup(await browser.post('/delete', deletion))
    check_markup(await browser.get('/'))
