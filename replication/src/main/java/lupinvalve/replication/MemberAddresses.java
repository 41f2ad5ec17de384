package lupinvalve.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;

/**
 * Addresses of members that the operator's file does not name: each member announces its address on its connections,
 * and the leader replicates it to all members through the log. On the group's thread.
 */
final class MemberAddresses {
    /** Members that this member's operator file names. The file takes precedence: its addresses are valid from here. */
    private final Set<String> configured;

    private final PeerConnections peers;
    private final Map<String, String> announcedAddresses = new HashMap<>();

    MemberAddresses(Set<String> configured, PeerConnections peers) {
        this.configured = configured;
        this.peers = peers;
    }

    /** A connected member has announced its address. */
    void onAnnounced(String member, String address) {
        announcedAddresses.put(member, address);
    }

    /** The last connection to a member has ended. */
    void onDisconnected(String member) {
        announcedAddresses.remove(member);
    }

    /** A member's address has been committed; it is empty for a member that was removed. */
    void onCommitted(String member, String address) {
        if (!configured.contains(member)) {
            peers.setMemberAddress(member, address);
        }
    }

    /** Called at the leader: proposes the address of one connected member, if the committed one differs. */
    void proposeMissing(RaftReplica leader) {
        Map<String, String> committedAddresses = leader.state().memberAddresses();
        for (MemberId member : peers.connected()) {
            String name = member.name();
            String address = announcedAddresses.get(name);
            if (address != null && !configured.contains(name) && !address.equals(committedAddresses.get(name))) {
                leader.propose(new Command.SetMemberAddress(name, address), (completion, outcome) -> {});
                return;
            }
        }
    }
}
