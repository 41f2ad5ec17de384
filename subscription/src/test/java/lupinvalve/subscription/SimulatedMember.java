package lupinvalve.subscription;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import lupinvalve.audit.Lease;
import lupinvalve.audit.LeaseManager;
import lupinvalve.subscription.SimulatedGroup.CommittedChange;
import lupinvalve.subscription.SimulatedGroup.PlantedFault;

/** A member in virtual time: applies the leader's log, holds a lease granted by the leader, and serves subscribers. */
final class SimulatedMember extends VirtualProcess {
    private static final long CONFIRM_INTERVAL_MICROS = 100_000;
    private static final long RENEW_INTERVAL_MICROS = 300_000;
    private static final long REPLICATION_MIN_MICROS = 5_000;
    private static final int REPLICATION_SPREAD_MICROS = 20_000;
    private static final double LEADERSHIP_LOSS_NOTICED_RATIO = 0.3;
    private static final long PLANTED_EXTRA_MICROS = 20_000_000;

    private record PendingRequest(WatchRequest request, Runnable responder) {}

    private final SimulatedGroup group;
    private final VirtualNetwork network;
    private final Map<String, PendingRequest> pendingBySubscriber = new HashMap<>();
    private WatchService service;
    /** The leases that this member grants to members while it is the leader, otherwise null. */
    private LeaseManager memberLeases;

    private long appliedIndex;
    private long confirmedMicros;
    private int appliedCount;
    private boolean lagging;

    SimulatedMember(SimulatedGroup group, VirtualNetwork network, String name) {
        super(network, name);
        this.group = group;
        this.network = network;
    }

    void start() {
        service = new WatchService("", clockMicros());
        memberLeases = null;
        pendingBySubscriber.clear();
        // The changes on its disk are applied at the start.
        apply();
        runLater(network.randomDelayMicros(), this::replicate);
        renewOwnLease();
        confirmLeadership();
    }

    /** Applies the leader's log if the leader is reachable. */
    private void replicate() {
        SimulatedMember leader = group.leader();
        boolean reachesLeader = this == leader || !lagging && leader.responds() && !network.isBlocked(leader, this);
        if (reachesLeader && appliedCount < group.committedCount()) {
            applyAll();
        }
        runLater(
                REPLICATION_MIN_MICROS + (long) (network.random.nextDouble() * REPLICATION_SPREAD_MICROS),
                this::replicate);
    }

    /** Applies everything that is committed. */
    void applyAll() {
        appliedCount = group.committedCount();
        apply();
    }

    private void apply() {
        for (CommittedChange change : group.committed(appliedCount)) {
            // Each document is applied separately, so that there are deltas.
            service.onApplied(
                    change.document(), SimulatedGroup.drains(change.drainNumber()), change.index(), clockMicros());
            appliedIndex = Math.max(appliedIndex, change.index());
        }
        for (String subscriber : new ArrayList<>(pendingBySubscriber.keySet())) {
            if (service.hasUpdate(pendingBySubscriber.get(subscriber).request())) {
                pendingBySubscriber.remove(subscriber).responder().run();
            }
        }
    }

    private void confirmLeadership() {
        long startedMicros = clockMicros();
        if (isLeader() && group.hasMajority(this)) {
            runLater(network.randomDelayMicros(), () -> {
                if (isLeader() && group.hasMajority(this)) {
                    confirmedMicros = startedMicros;
                    memberLeases = memberLeases == null ? new LeaseManager(clockMicros(), appliedIndex) : memberLeases;
                }
            });
        } else if (!isLeader() && network.random.nextDouble() < LEADERSHIP_LOSS_NOTICED_RATIO) {
            // The member notices the loss of its leadership after a random delay.
            memberLeases = null;
        }
        runLater(CONFIRM_INTERVAL_MICROS, this::confirmLeadership);
    }

    private boolean isLeader() {
        return group.leader() == this;
    }

    private void renewOwnLease() {
        long requestedMicros = clockMicros();
        long appliedFloor = service.appliedFloor(clockMicros());
        SimulatedMember leader = group.leader();
        if (leader == this) {
            onOwnLease(grantMemberLease(name(), appliedIndex, appliedFloor), requestedMicros, appliedIndex);
        } else {
            network.send(this, leader, () -> {
                LeaseManager.Renewal granted = leader.grantMemberLease(name(), appliedIndex, appliedFloor);
                long leaderIndex = leader.appliedIndex;
                leader.runLater(
                        0, () -> network.send(leader, this, () -> onOwnLease(granted, requestedMicros, leaderIndex)));
            });
        }
        runLater(RENEW_INTERVAL_MICROS, this::renewOwnLease);
    }

    private LeaseManager.Renewal grantMemberLease(String member, long memberIndex, long appliedFloor) {
        long remainingMicros = memberLeases == null ? 0 : confirmedMicros + Lease.DURATION_MICROS - clockMicros();
        if (remainingMicros <= 0) {
            return new LeaseManager.Renewal(0, "");
        }
        LeaseManager.Renewal granted = memberLeases.renew(member, memberIndex, "", appliedFloor, clockMicros());
        return new LeaseManager.Renewal(Math.min(remainingMicros, granted.durationMicros()), granted.reason());
    }

    private void onOwnLease(LeaseManager.Renewal granted, long requestedMicros, long leaderIndex) {
        if (granted.durationMicros() > 0) {
            long extraMicros = group.planted() == PlantedFault.GRANTS_PAST_OWN_LEASE ? PLANTED_EXTRA_MICROS : 0;
            service.onOwnLease(
                    Lease.endMicros(requestedMicros, granted.durationMicros()) + extraMicros,
                    group.planted() == PlantedFault.LEADER_INDEX_IGNORED ? 0 : leaderIndex,
                    clockMicros());
        }
    }

    /** Handles a request like {@code SubscriptionServer}; the handler receives null if the member rejects it. */
    void onRequest(SimulatedSubscriber subscriber, WatchRequest request, Consumer<WatchResponse> handler) {
        service.onRequest(subscriber.name());
        long receivedMicros = clockMicros();
        WatchRequest effectiveRequest =
                group.planted() == PlantedFault.ADMITS_LAGGING_SUBSCRIBER ? withHighestIndex(request) : request;
        Runnable responder = () -> {
            WatchResponse response = service.lacksOwnLease(clockMicros())
                    ? null
                    : service.respond(
                            subscriber.name(), effectiveRequest, clockMicros() - receivedMicros, clockMicros());
            network.send(this, subscriber, () -> handler.accept(response));
        };
        if (service.hasUpdate(request)
                || service.lacksOwnLease(clockMicros())
                || service.canAdmit(subscriber.name(), request, clockMicros())) {
            responder.run();
            return;
        }
        PendingRequest pending = new PendingRequest(request, responder);
        pendingBySubscriber.put(subscriber.name(), pending);
        runLater(WatchService.LONG_POLL_MICROS, () -> {
            if (pendingBySubscriber.remove(subscriber.name(), pending)) {
                responder.run();
            }
        });
    }

    private static WatchRequest withHighestIndex(WatchRequest request) {
        return new WatchRequest(
                request.version(),
                Long.MAX_VALUE,
                request.revision(),
                request.digest(),
                request.drainsDigest(),
                request.wantsLease(),
                request.wantsFullDocument(),
                request.objection());
    }

    LeaseManager memberLeases() {
        return memberLeases;
    }

    long confirmedMicros() {
        return confirmedMicros;
    }

    void onElected() {
        memberLeases = null;
        applyAll();
    }

    void setLagging(boolean lagging) {
        this.lagging = lagging;
    }
}
