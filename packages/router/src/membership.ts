/** Which daemons and VMs are there, and how they are. */
export * from './lib/membership/membership.js';
export type {Member, MemberStatus} from './lib/membership/member.js';
export {chooseNeighbours, type Neighbours, type OverlayMember} from './lib/membership/overlay.js';
export {Phase} from './gen/hickorywalk/v1/membership_pb.js';
