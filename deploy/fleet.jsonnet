// Front ends that keep a record of loads together. All of a site get the same file; each finds itself by its name.
// docs/operators/copies.md says what each key does.
{
  fleet: {
    enabled: true,
    site: 'legon',
    members: [
      { name: 'n1', address: '127.0.1.1:7400', zone: 'room-a' },
      { name: 'n2', address: '127.0.1.2:7400', zone: 'room-b' },
      { name: 'n3', address: '127.0.1.3:7400', zone: 'room-a' },
    ],
    copies: 3,
    folder: '/var/lib/chutechute/{name}',
    admin: '/run/chutechute/{name}.sock',
    // What the whole fleet may spend, divided by what each front end needs: docs/operators/budgets.md.
    budgets: {
      version: 1,
      lease_ms: 2000,
      list: [
        { name: 'further', further: true, share: 0.1, rate: 20, burst: 40 },
        { name: 'probes', probes: true, rate: 10, burst: 20 },
      ],
    },
  },
}
