//! Tests of the mix of requests: shares, placeholders, and mixes that are refused.

use super::*;
use rand::SeedableRng;

const MIX: &str = r#"version = 1
        tenants = { north = 3.0, south = 1.0 }
        [[requests]]
        name = "look"
        share = 3
        path = "/look/{n}?k={key}"
        keys = 5
        [[requests]]
        name = "book"
        method = "POST"
        path = "/book"
        headers = { "Req-Owner" = "{tenant}", "Idempotency-Key" = "{key}" }
        body_bytes = 10
    "#;

#[test]
fn requests_follow_their_shares_and_placeholders_are_filled_in() {
    let mix = Mix::parse(MIX).unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut kinds, mut north) = ([0; 2], 0);
    for n in 0..4_000 {
        let mut out = Vec::new();
        let kind = mix.write_request(n, 7, "h", &mut rng, &mut out);
        kinds[kind] += 1;
        let text = String::from_utf8(out).unwrap();
        if kind == 0 {
            assert!(
                text.starts_with(&format!("GET /look/{n}?k=00000007000000000000000"))
                    && text.ends_with("\r\n\r\n")
            );
        } else {
            assert!(
                text.contains("Content-Length: 10\r\n") && text.ends_with("\r\n\r\nxxxxxxxxxx"),
                "{text}"
            );
            north += u32::from(text.contains("Req-Owner: north\r\n"));
        }
    }
    assert!((2_850..3_150).contains(&kinds[0]), "{kinds:?}");
    assert!((0.68..0.82).contains(&(f64::from(north) / f64::from(kinds[1]))), "{north} of {kinds:?}");
}

#[test]
fn invalid_mixes_are_refused_with_the_key_concerned() {
    let refused = |from: &str, to: &str| Mix::parse(&MIX.replacen(from, to, 1)).unwrap_err().to_string();
    assert!(refused("path = \"/book\"", "path = \"book\"").starts_with("requests[1]: "));
    assert!(refused("path = \"/book\"", "path = \"/b ook\"").starts_with("requests[1]: "));
    assert!(refused("\"{tenant}\"", "\"a\\r\\nb\"").starts_with("requests[1].headers: "));
    assert!(refused("share = 3", "shares = 3").contains("unknown field"));
    assert!(refused("version = 1", "version = 2").starts_with("version: "));
}
