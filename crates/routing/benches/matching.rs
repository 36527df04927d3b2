//! What a match costs with 10, 1,000 and 10,000 routes, as ratios to the first, and whether it allocates.
//!
//! `cargo bench -p garnettally-routing` times with criterion; the ratios and the count of allocations come first.

use criterion::{criterion_group, Criterion};
use garnettally_routing::pattern::*;
use garnettally_routing::table::RouteTable;
use std::hint::black_box;
use std::time::Instant;

struct Headers1;
impl Headers for Headers1 {
    fn header(&self, name: &str) -> Option<&str> {
        name.eq_ignore_ascii_case("x-kind").then_some("a")
    }
}

/// Services with collections, items, a literal beside the parameter, a prefix, and a header that tells apart.
fn table(n: usize) -> RouteTable {
    let routes = (0..n).map(|i| {
        let (service, host) = (i / 5, format!("s{}.example.org", i / 50));
        let (path, prefix) = match i % 5 {
            0 => (format!("/v1/service-{service}/items"), false),
            1 => (format!("/v1/service-{service}/items/{{id}}"), false),
            2 => (format!("/v1/service-{service}/items/new"), false),
            3 => (format!("/v1/service-{service}/items/{{id}}/lines/{{line}}"), false),
            _ => (format!("/v1/service-{service}"), true),
        };
        let test = FieldTest { name: "x-kind".into(), test: ValueTest::Equals("a".into()) };
        let matcher = Matcher {
            host: HostPattern::parse(&host).unwrap(),
            path: PathPattern::parse(&path, prefix).unwrap(),
            headers: (i % 7 == 0).then_some(test).into_iter().collect(),
            ..Matcher::default()
        };
        (format!("r{i}"), matcher)
    });
    RouteTable::new(routes.collect()).unwrap_or_else(|c| panic!("{c:?}"))
}

/// Requests that are spread over all routes.
fn requests(n: usize) -> Vec<(String, String)> {
    (0..1_000)
        .map(|k| {
            let i = k * 7919 % n;
            let (service, host) = (i / 5, format!("s{}.example.org", i / 50));
            let path = match i % 5 {
                0 => format!("/v1/service-{service}/items"),
                1 => format!("/v1/service-{service}/items/{k}"),
                2 => format!("/v1/service-{service}/items/new"),
                3 => format!("/v1/service-{service}/items/{k}/lines/9"),
                _ => format!("/v1/service-{service}/other/thing"),
            };
            (host, path)
        })
        .collect()
}

fn all(table: &RouteTable, requests: &[(String, String)]) -> usize {
    let find = |(host, path): &(String, String)| {
        let s = RequestView { method: "GET", host, path, query: "", headers: &Headers1 };
        table.find(&s).is_some()
    };
    requests.iter().filter(|r| find(r)).count()
}

const SIZES: [usize; 3] = [10, 1_000, 10_000];

fn ratios() {
    let worlds: Vec<_> = SIZES.iter().map(|&n| (table(n), requests(n))).collect();
    // Interleaved, so that what else the machine does falls on all alike; the median of each counts.
    let mut times = [const { Vec::new() }; 3];
    for _ in 0..101 {
        for (i, (table, requests)) in worlds.iter().enumerate() {
            let mut found = 0;
            let allocated = allocation_counter::measure(|| found = black_box(all(table, requests)));
            assert_eq!(allocated.count_total, 0, "a match allocates");
            let start = Instant::now();
            black_box(all(table, requests));
            let time = start.elapsed();
            assert_eq!(found, requests.len(), "a request found no route");
            times[i].push(time.as_nanos() as f64 / requests.len() as f64);
        }
    }
    for (i, n) in SIZES.iter().enumerate() {
        times[i].sort_by(f64::total_cmp);
        let (this, first) = (times[i][50], times[0][50]);
        println!(
            "{n} routes: {this:.0} ns a match, {:.2} of {} routes; no allocation",
            this / first,
            SIZES[0]
        );
    }
}

fn matching(c: &mut Criterion) {
    for n in SIZES {
        let (table, requests) = (table(n), requests(n));
        c.bench_function(&format!("1,000 matches among {n} routes"), |b| b.iter(|| all(&table, &requests)));
    }
}

criterion_group!(benches, matching);

fn main() {
    ratios();
    benches();
    Criterion::default().configure_from_args().final_summary();
}
