// Package snipeslot implements admission control by slots: the number of
// attempts that run at a target at the same time never exceeds its slots.
//
// The targets of a team and service in a place are divided into slot groups.
// One Owner per group grants all of its slots; requests that find no free slot
// wait in a queue ordered by deadline. A grant has a time to live, which the
// Holder of the instance that received it renews. After a change of owner, the
// new Owner grants nothing until every member of the region has reported its
// running attempts, or until every grant of the former owner must have expired.
//
// The bound on running attempts holds whatever messages are lost, late or
// repeated, as long as (1) at most one Owner of a group has a lease at any time
// and its epoch is higher than those of earlier owners, (2) the members passed
// to SetMembers include every instance that may hold a grant of the former
// owner, (3) each attempt that Holder.Tick names is cancelled at once, (4) clock
// rates differ by less than the drift margin, and (5) where targets move between
// groups, each instance passes each generation to Owner.SetGeneration and then
// to Holder.Configure, and no owner with a lease stays without a generation for
// longer than 15 s after another owner has it.
//
// The package performs no I/O and reads no clock; its types are not safe for
// concurrent use.
package snipeslot
