"""Guards against pages that need scripts or are not accessible."""

from html.parser import HTMLParser

from crocusproxy.membership.view import Instance, InstanceView
from tests.console.harness import EXAMPLE, Form, with_console

VOID_TAGS = {'input', 'link', 'meta', 'rect', 'line'}


class Markup(HTMLParser):
    """Collects the ids, labels and references of a page, and markup faults."""

    def __init__(self, page):
        super().__init__()
        self.open_tags, self.ids, self.label_targets, self.references = (
            [],
            [],
            [],
            [],
        )
        self.unlabelled_inputs, self.forbidden_markup, self.misnested_tags = (
            [],
            [],
            [],
        )
        self.feed(page)

    def handle_starttag(self, tag, attributes):
        attrs = dict(attributes)
        if tag not in VOID_TAGS:
            self.open_tags.append(tag)
        self.ids += [attrs['id']] if 'id' in attrs else []
        self.label_targets += [attrs['for']] if 'for' in attrs else []
        self.references += (attrs.get('aria-describedby') or '').split()
        if tag == 'input' and attrs.get('type') != 'hidden':
            if 'aria-label' not in attrs:
                self.unlabelled_inputs.append(attrs['id'])
        if tag in {'script', 'style'} or 'style' in attrs:
            self.forbidden_markup.append(tag)
        self.forbidden_markup += [
            name for name in attrs if name.startswith('on')
        ]

    def handle_startendtag(self, tag, attributes):
        self.handle_starttag(tag, attributes)

    def handle_endtag(self, tag):
        if tag not in VOID_TAGS and self.open_tags.pop() != tag:
            self.misnested_tags.append(tag)


def check_markup(page):
    markup = Markup(page)
    assert page.startswith('<!doctype html>')
    assert not markup.misnested_tags + markup.open_tags
    assert len(markup.ids) == len(set(markup.ids))
    assert set(markup.references) <= set(markup.ids)
    assert set(markup.unlabelled_inputs) == set(markup.label_targets)
    assert not markup.forbidden_markup


@with_console
async def test_pages_are_well_formed_labelled_and_free_of_scripts(
    platform, open_browser
):
    check_markup(await (await open_browser('')).get('/sign-in'))
    browser = await open_browser()
    follower = platform.daemon.follower
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
