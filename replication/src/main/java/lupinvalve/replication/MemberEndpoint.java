package lupinvalve.replication;

import io.microraft.RaftEndpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import lupinvalve.statemachine.MemberId;

/** A member as MicroRaft's endpoint. */
record MemberEndpoint(MemberId member) implements RaftEndpoint {
    @Override
    public Object getId() {
        return member;
    }

    static Set<MemberId> identities(Collection<RaftEndpoint> endpoints) {
        Set<MemberId> identities = new TreeSet<>();
        endpoints.forEach(endpoint -> identities.add((MemberId) endpoint.getId()));
        return identities;
    }

    static List<RaftEndpoint> all(Collection<MemberId> identities) {
        List<RaftEndpoint> endpoints = new ArrayList<>();
        identities.forEach(identity -> endpoints.add(new MemberEndpoint(identity)));
        return endpoints;
    }

    static MemberId of(RaftEndpoint endpoint) {
        return (MemberId) endpoint.getId();
    }
}
