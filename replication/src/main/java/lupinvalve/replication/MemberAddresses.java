package lupinvalve.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.MemberId;

/**
 * Where members are reached that the operator's file does not name: announced on their connections, and shared with all
 * through the log. On the group's thread.
 */
final class MemberAddresses {
    /** Members that the operator's own file names; it goes before, as it knows the way from here. */
    private final Set<String> configured;

    private final PeerConnections peers;
    private final Map<String, String> announced = new HashMap<>();

    MemberAddresses(Set<String> configured, PeerConnections peers) {
        this.configured = configured;
        this.peers = peers;
    }

    /** A connected member says where it is reached. */
    void onAnnounced(String member, String address) {
        announced.put(member, address);
    }

    /** A member is connected no more. */
    void onDisconnected(String member) {
        announced.remove(member);
    }

    /** A majority holds a member's address; empty for a member that was removed. */
    void onCommitted(String member, String address) {
        if (!configured.contains(member)) {
            peers.setMemberAddress(member, address);
        }
    }

    /** The leader's: proposes the address of one connected member that the log does not have yet. */
    void proposeMissing(RaftReplica leader) {
        Map<String, String> shared = leader.state().memberAddresses();
        for (MemberId member : peers.connected()) {
            String name = member.name();
            String address = announced.get(name);
            if (address != null && !configured.contains(name) && !address.equals(shared.get(name))) {
                leader.propose(new Command.SetMemberAddress(name, address), (completion, outcome) -> {});
                return;
            }
        }
    }
}
