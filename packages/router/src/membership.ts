/** Membership: the daemons and VMs of the fleet and their status. */
export * from './lib/membership/membership.js';
export type {Member, MemberStatus} from './lib/membership/member.js';
export {chooseNeighbours, type Neighbours, type OverlayMember} from './lib/membership/overlay.js';
export {Phase} from './gen/hickorywalk/v1/membership_pb.js';
