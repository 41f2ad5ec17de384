package lupinvalve.cli;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointStatus;
import lupinvalve.core.Pooler;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.RaftMember;
import lupinvalve.replication.SessionTokens;
import lupinvalve.replication.Subscriber;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/** What the group has accepted, brought to the core thread, and what the core knows brought to the group. */
final class Shared implements ControlPlane.Listener {
    private static final long LOOK = 1_000_000, REFRESH = 10_000_000;
    private static final String BY = "group";
    private final Pooler pooler;
    private final ControlPlane plane;
    private final ControlPlane.InitialState known;
    private final SessionTokens tokens;
    private final String name;
    private final Consumer<byte[]> adopted;
    private final Consumer<Boolean> held;
    private DrainCommands orders = DrainCommands.NONE;
    private List<Endpoint> told = List.of();
    private long toldAt;

    /**
     * @param opening null for the program's own
     * @param adopted acts on a configuration; on the core thread
     * @param held is told whether this pooler itself is held; on the core thread
     */
    Shared(
            Pooler pooler,
            OperatorConfig.Store config,
            Daemon.Opening opening,
            Consumer<byte[]> adopted,
            Consumer<Boolean> held)
            throws IOException {
        this.pooler = pooler;
        this.adopted = adopted;
        this.held = held;
        name = config.name();
        plane = opening != null
                ? opening.open(config)
                : config.role() == OperatorConfig.Role.SUBSCRIBER ? new Subscriber(config) : new RaftMember(config);
        known = plane.initialState();
        tokens = new SessionTokens(pooler.loop(), plane, config.waitMicros(), known.commits());
        pooler.sessionTokens(tokens);
    }

    ControlPlane plane() {
        return plane;
    }

    /** The configuration accepted before this start, or null. */
    byte[] document() {
        return known.document() == null ? null : known.document().content();
    }

    /** The db nodes that were known last, for a start before discovery answers. */
    List<DiscoveredEndpoint> entries() {
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        for (Command.KnownEndpoint listed : known.nodes()) {
            entries.add(new DiscoveredEndpoint(listed.endpoint(), listed.addresses()));
        }
        return entries;
    }

    void start() throws IOException {
        plane.start(this);
    }

    /** Begins to tell the group of the list; core thread, once the pooler has started. */
    void follow() {
        for (Command.KnownEndpoint listed : known.nodes()) {
            if (listed.logPosition() != LogPosition.UNKNOWN) {
                pooler.healthCheckEnded(
                        listed.endpoint().node(),
                        AttemptOutcome.SERVED,
                        0,
                        listed.logPosition(),
                        listed.endpoint().listedPrimary() ? ServerRole.PRIMARY : ServerRole.REPLICA);
            }
        }
        look();
    }

    /** The leader's pooler tells: one list for all is enough, and all poolers see the same db nodes. */
    private void look() {
        List<EndpointStatus> nodes = pooler.endpointStatuses();
        List<Endpoint> members =
                nodes.stream().map(one -> one.discovered().endpoint()).toList();
        long now = pooler.loop().now();
        if (plane.isLeader() && !nodes.isEmpty() && (!members.equals(told) || now - toldAt > REFRESH)) {
            told = members;
            toldAt = now;
            plane.publishEndpoints(nodes.stream()
                    .map(one -> new Command.KnownEndpoint(
                            one.discovered().endpoint(), one.discovered().addresses(), one.position()))
                    .toList());
        }
        pooler.loop().after(LOOK, this::look);
    }

    // ---- the group's thread ----
    @Override
    public String validationError(byte[] document) {
        return OperatorConfig.validationError(document).orElse(null);
    }

    @Override
    public String transitionError(byte[] current, byte[] next) {
        return OperatorConfig.changeRejection(current, next).orElse(null);
    }

    @Override
    public void runAfterApplied(Runnable then) {
        pooler.loop().post(then);
    }

    @Override
    public void configurationAccepted(ReplicatedState.Document document) {
        pooler.loop().post(() -> adopted.accept(document.content()));
    }

    @Override
    public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> holds) {
        Set<String> out = new TreeSet<>();
        holds.keySet().stream()
                .filter(one -> one.kind() == Command.TargetKind.NODE)
                .forEach(one -> out.add(one.name()));
        boolean self = holds.containsKey(new Command.DrainTarget(Command.TargetKind.POOLER, name));
        pooler.loop().postUrgent(() -> {
            Map<String, Long> back = new HashMap<>(orders.restoredAtMicros());
            back.keySet().removeAll(out);
            orders.drained().stream()
                    .filter(id -> !out.contains(id))
                    .forEach(id -> back.put(id, pooler.loop().now()));
            orders = new DrainCommands(out, back);
            pooler.applyDrainCommands(BY, orders);
            held.accept(self);
        });
    }

    @Override
    public void commitsAccepted(Command.SessionCommits commits) {
        pooler.loop().post(() -> tokens.accepted(commits));
    }
}
