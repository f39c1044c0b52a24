//! What a request's fingerprint tells apart.

use glade_quarantine::Fingerprint;

fn of(fields: &[&[u8]]) -> u64 {
    let mut fingerprint = Fingerprint::new();
    fields.iter().for_each(|field| fingerprint.add(field));
    fingerprint.get(true)
}

#[test]
fn the_same_fields_have_the_same_fingerprint_on_every_machine() {
    assert_eq!(of(&[b"claim", b"/claim/7", b"{\"load\":17}"]), 0xf17e_5716_cc98_7f4c);
}

#[test]
fn bytes_do_not_move_between_fields() {
    assert_ne!(of(&[b"ab", b"c"]), of(&[b"a", b"bc"]));
    assert_ne!(of(&[b"ab"]), of(&[b"ab", b""]));
    assert_ne!(of(&[b"ab"]), of(&[b"ab\0"]));
}

#[test]
fn bodies_that_differ_in_one_bit_differ() {
    let body = vec![7_u8; 4_099];
    let whole = of(&[&body]);
    for position in 0..body.len() {
        let mut other = body.clone();
        other[position] ^= 1 << (position % 8);
        assert_ne!(of(&[&other]), whole, "byte {position}");
    }
}
