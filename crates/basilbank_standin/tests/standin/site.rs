//! A site's catalogue and settings are what the product reads.

use basilbank_config::{Document, Settings, parse_catalogue};
use basilbank_standin::{Site, SiteSpec};

#[test]
fn the_product_accepts_a_sites_files() {
    let site = Site::start(&SiteSpec::default()).unwrap();
    let text = Some(site.catalogue().to_string());
    let document = Document { key: "catalogue/site".to_owned(), text, revision: 1 };
    let catalogue = parse_catalogue(1, &[document]).unwrap();
    assert_eq!((catalogue.endpoints.len(), catalogue.entries.len()), (6, 2));
    let settings = site.settings("entry-1");
    let text = Site::settings_text(&settings);
    assert_eq!(Settings::parse("entry-1.json", &text).unwrap(), settings);
}
