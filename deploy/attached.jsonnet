// A fleet of any size: the members, which keep the record of loads and hear one another, and front ends that attach themselves to
// two of them. All of a site get the same members and the same attached section, which they agree on when they link. What differs
// is the zone, which stands in the files of front ends that are not members. docs/operators/membership.md says what each key does.
//
// Budgets are not divided among attached front ends: fleet.budgets is refused beside fleet.attached.
{
  fleet: {
    enabled: true,
    site: 'legon',
    members: [
      { name: 'n1', address: '127.0.1.1:7400', zone: 'room-a' },
      { name: 'n2', address: '127.0.1.2:7400', zone: 'room-b' },
      { name: 'n3', address: '127.0.1.3:7400', zone: 'room-c' },
    ],
    copies: 3,
    ledger_mb: 16,  // agreed on, so that front ends with less memory than the members' have to say it too
    folder: '/var/lib/chutechute/{name}',  // the members'; an attached front end keeps no record
    admin: '/run/chutechute/{name}.sock',
    attached: {
      enabled: true,
      heartbeat_ms: 1000,
      suspect_ms: 2500,
      dead_ms: 4000,
      most: 8192,  // front ends of both roles
    },
    // zone: 'room-a',  // at a front end that is not a member
  },
}
