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

/**
 * Connects the pooler to its Raft group: passes the group's committed changes to the core thread, and publishes the
 * endpoint list that the core knows to the group.
 */
final class Shared implements ControlPlane.Listener {
    /** Interval in microseconds at which the endpoint list is compared with the published one. */
    private static final long PUBLISH_CHECK_INTERVAL_MICROS = 1_000_000;
    /**
     * Time in microseconds after which an unchanged endpoint list is published again with the current log positions.
     */
    private static final long REFRESH = 10_000_000;

    /** Source of the drain commands for {@link Pooler#applyDrainCommands}. */
    private static final String DRAIN_SOURCE = "group";

    private final Pooler pooler;
    private final ControlPlane plane;
    private final ControlPlane.InitialState initialState;
    private final SessionTokens sessionTokens;
    private final String name;
    private final Consumer<byte[]> onConfiguration;
    private final Consumer<Boolean> onSelfDrain;
    private DrainCommands drainCommands = DrainCommands.NONE;
    private List<Endpoint> published = List.of();
    private long publishedAtMicros;

    /**
     * @param factory opens the control plane; null for the program's own member or subscriber
     * @param onConfiguration applies an accepted document; called on the core thread
     * @param onSelfDrain receives whether the group drains this pooler itself; called on the core thread
     */
    Shared(
            Pooler pooler,
            OperatorConfig.Store config,
            Daemon.ControlPlaneFactory factory,
            Consumer<byte[]> onConfiguration,
            Consumer<Boolean> onSelfDrain)
            throws IOException {
        this.pooler = pooler;
        this.onConfiguration = onConfiguration;
        this.onSelfDrain = onSelfDrain;
        name = config.name();
        plane = factory != null
                ? factory.open(config)
                : config.role() == OperatorConfig.Role.SUBSCRIBER ? new Subscriber(config) : new RaftMember(config);
        initialState = plane.initialState();
        sessionTokens = new SessionTokens(pooler.loop(), plane, config.waitMicros(), initialState.commits());
        pooler.sessionTokens(sessionTokens);
    }

    ControlPlane plane() {
        return plane;
    }

    /** The document that was accepted before this start, or null. */
    byte[] document() {
        return initialState.document() == null ? null : initialState.document().content();
    }

    /** The last known endpoint list of the group, for a start before discovery answers. */
    List<DiscoveredEndpoint> initialEndpoints() {
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        for (Command.KnownEndpoint knownEndpoint : initialState.nodes()) {
            endpoints.add(new DiscoveredEndpoint(knownEndpoint.endpoint(), knownEndpoint.addresses()));
        }
        return endpoints;
    }

    void start() throws IOException {
        plane.start(this);
    }

    /**
     * Restores the known log positions and starts publishing the endpoint list to the group. On the core thread, after
     * the pooler has started.
     */
    void startPublishing() {
        for (Command.KnownEndpoint knownEndpoint : initialState.nodes()) {
            if (knownEndpoint.logPosition() != LogPosition.UNKNOWN) {
                pooler.healthCheckEnded(
                        knownEndpoint.endpoint().node(),
                        AttemptOutcome.SERVED,
                        0,
                        knownEndpoint.logPosition(),
                        knownEndpoint.endpoint().listedPrimary() ? ServerRole.PRIMARY : ServerRole.REPLICA);
            }
        }
        publishIfChanged();
    }

    /**
     * Publishes the endpoint list on a change and periodically. Only the leader's pooler does: one list is enough for
     * the group, since all poolers see the same db nodes.
     */
    private void publishIfChanged() {
        List<EndpointStatus> statuses = pooler.endpointStatuses();
        List<Endpoint> endpoints =
                statuses.stream().map(status -> status.discovered().endpoint()).toList();
        long now = pooler.loop().now();
        if (plane.isLeader()
                && !statuses.isEmpty()
                && (!endpoints.equals(published) || now - publishedAtMicros > REFRESH)) {
            published = endpoints;
            publishedAtMicros = now;
            plane.publishEndpoints(statuses.stream()
                    .map(status -> new Command.KnownEndpoint(
                            status.discovered().endpoint(), status.discovered().addresses(), status.position()))
                    .toList());
        }
        pooler.loop().after(PUBLISH_CHECK_INTERVAL_MICROS, this::publishIfChanged);
    }

    // ---- called on the control plane's thread ----
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
        pooler.loop().post(() -> onConfiguration.accept(document.content()));
    }

    @Override
    public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> drains) {
        Set<String> drained = new TreeSet<>();
        drains.keySet().stream()
                .filter(target -> target.kind() == Command.TargetKind.NODE)
                .forEach(target -> drained.add(target.name()));
        boolean drainsThisPooler = drains.containsKey(new Command.DrainTarget(Command.TargetKind.POOLER, name));
        pooler.loop().postUrgent(() -> {
            Map<String, Long> restoredAtMicros = new HashMap<>(drainCommands.restoredAtMicros());
            restoredAtMicros.keySet().removeAll(drained);
            drainCommands.drained().stream()
                    .filter(id -> !drained.contains(id))
                    .forEach(id -> restoredAtMicros.put(id, pooler.loop().now()));
            drainCommands = new DrainCommands(drained, restoredAtMicros);
            pooler.applyDrainCommands(DRAIN_SOURCE, drainCommands);
            onSelfDrain.accept(drainsThisPooler);
        });
    }

    @Override
    public void commitsAccepted(Command.SessionCommits commits) {
        pooler.loop().post(() -> sessionTokens.accepted(commits));
    }
}
