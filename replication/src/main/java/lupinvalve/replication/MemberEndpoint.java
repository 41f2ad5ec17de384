package lupinvalve.replication;

import io.microraft.RaftEndpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import lupinvalve.statemachine.Identity;

/** A member as the library names it. */
record MemberEndpoint(Identity identity) implements RaftEndpoint {
    @Override
    public Object getId() {
        return identity;
    }

    static Set<Identity> identities(Collection<RaftEndpoint> all) {
        Set<Identity> identities = new TreeSet<>();
        all.forEach(one -> identities.add((Identity) one.getId()));
        return identities;
    }

    static List<RaftEndpoint> all(Collection<Identity> identities) {
        List<RaftEndpoint> all = new ArrayList<>();
        identities.forEach(one -> all.add(new MemberEndpoint(one)));
        return all;
    }

    static Identity of(RaftEndpoint endpoint) {
        return (Identity) endpoint.getId();
    }
}
