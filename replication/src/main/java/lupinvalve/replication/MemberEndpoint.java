package lupinvalve.replication;

import io.microraft.RaftEndpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import lupinvalve.statemachine.MemberId;

/** A member as the library names it. */
record MemberEndpoint(MemberId member) implements RaftEndpoint {
    @Override
    public Object getId() {
        return member;
    }

    static Set<MemberId> identities(Collection<RaftEndpoint> all) {
        Set<MemberId> identities = new TreeSet<>();
        all.forEach(one -> identities.add((MemberId) one.getId()));
        return identities;
    }

    static List<RaftEndpoint> all(Collection<MemberId> identities) {
        List<RaftEndpoint> all = new ArrayList<>();
        identities.forEach(one -> all.add(new MemberEndpoint(one)));
        return all;
    }

    static MemberId of(RaftEndpoint endpoint) {
        return (MemberId) endpoint.getId();
    }
}
