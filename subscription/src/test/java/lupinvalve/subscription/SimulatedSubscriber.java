package lupinvalve.subscription;

import java.util.concurrent.atomic.AtomicBoolean;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.SimulatedGroup.CommittedChange;
import lupinvalve.subscription.SimulatedGroup.PlantedFault;

/**
 * A subscriber in virtual time that behaves like {@code Subscriber}, with a pooler that applies changes after a delay.
 */
final class SimulatedSubscriber extends VirtualProcess {
    private static final long CORRUPTION_RETRY_MICROS = 200_000;
    private static final long APPLY_USUAL_MICROS = 1_000;
    private static final double APPLY_USUAL_RATIO = 0.97;
    private static final int APPLY_SLOW_MICROS = 600_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final SimulatedGroup group;
    private final VirtualNetwork network;
    private SubscriberState.Cached disk = SubscriberState.Cached.EMPTY;
    private SubscriberState state;
    private MemberSelector selector;
    /** Distinguishes late events of an earlier connection from those of the current one. */
    private int connectionNumber;

    private boolean requestSent;
    private ReplicatedState.Document appliedDocument;
    private int appliedDrainNumber;
    private long poolerBusyUntilMicros;
    /** Log index of the last strict change that was reported as done. */
    private long mustHaveAppliedIndex;

    SimulatedSubscriber(SimulatedGroup group, VirtualNetwork network, String name) {
        super(network, name);
        this.group = group;
        this.network = network;
    }

    void start() {
        state = new SubscriberState(true, disk, clockMicros());
        selector = new MemberSelector(name(), group.memberNames(), network.random.nextLong());
        appliedDocument = state.restoreCached(document -> null);
        appliedDrainNumber = SimulatedGroup.drainNumber(state.drains());
        poolerBusyUntilMicros = 0;
        connect(0);
    }

    void loseDisk() {
        disk = SubscriberState.Cached.EMPTY;
    }

    private void connect(long delayMicros) {
        int connection = ++connectionNumber;
        requestSent = false;
        runLater(delayMicros, () -> {
            if (connection == connectionNumber) {
                handshake(group.member(selector.currentMember()), connection);
            }
        });
    }

    private void handshake(SimulatedMember member, int connection) {
        runLater(selector.handshakeTimeoutMicros(), () -> {
            if (connection == connectionNumber && !requestSent) {
                failOver();
            }
        });
        if (!member.isUp()) {
            runLater(network.randomDelayMicros(), () -> {
                if (connection == connectionNumber) {
                    failOver();
                }
            });
            return;
        }
        network.send(this, member, () -> network.send(member, this, () -> sendRequest(member, connection)));
    }

    private void failOver() {
        connect(selector.failOver(clockMicros()));
    }

    private void sendRequest(SimulatedMember member, int connection) {
        if (connection != connectionNumber) {
            return;
        }
        requestSent = true;
        long requestedMicros = clockMicros();
        AtomicBoolean responded = new AtomicBoolean();
        WatchRequest request = state.request();
        boolean allowFullDocument =
                !state.hasLease(requestedMicros) || request.wantsFullDocument() || request.revision() == 0;
        runLater(selector.responseTimeoutMicros(allowFullDocument), () -> {
            if (connection == connectionNumber && !responded.get()) {
                failOver();
            }
        });
        int memberIncarnation = member.incarnation();
        network.send(
                this,
                member,
                () -> member.onRequest(this, request, response -> {
                    if (connection != connectionNumber || member.incarnation() != memberIncarnation) {
                        return;
                    }
                    responded.set(true);
                    if (response == null) {
                        failOver();
                    } else {
                        onResponse(response, requestedMicros, member, connection);
                    }
                }));
    }

    private void onResponse(WatchResponse sent, long requestedMicros, SimulatedMember member, int connection) {
        WatchResponse response = corruptAtRandom(sent);
        SubscriberState.Update update = handle(response, requestedMicros);
        boolean corrupt = !update.corruption().isEmpty();
        if (corrupt) {
            group.countCorruption();
        }
        if (update.changesState()) {
            disk = state.toCache();
            group.countUpdate();
        }
        long receivedIndex = state.receivedIndex();
        long nowMicros = network.nowMicros();
        poolerBusyUntilMicros = Math.max(poolerBusyUntilMicros, nowMicros + randomApplyMicros());
        long retryMicros = corrupt ? CORRUPTION_RETRY_MICROS : response.retryAfterMillis() * MICROS_PER_MILLI;
        runLater(poolerBusyUntilMicros - nowMicros, () -> {
            apply(update);
            state.onApplied(receivedIndex);
            runLater(retryMicros, () -> sendRequest(member, connection));
        });
        failOverIfNeeded(response);
    }

    private long randomApplyMicros() {
        return network.random.nextDouble() < APPLY_USUAL_RATIO
                ? APPLY_USUAL_MICROS
                : (long) (network.random.nextDouble() * APPLY_SLOW_MICROS);
    }

    private SubscriberState.Update handle(WatchResponse response, long requestedMicros) {
        if (group.planted() != PlantedFault.LEASE_COUNTED_FROM_RESPONSE) {
            return state.onResponse(response, requestedMicros, clockMicros(), document -> null);
        }
        WatchResponse withoutQueueTime = new WatchResponse(
                response.leaseMicros(),
                0,
                response.leaseDenial(),
                response.completeIndex(),
                response.retryAfterMillis(),
                response.event(),
                response.drains());
        return state.onResponse(withoutQueueTime, clockMicros(), clockMicros(), document -> null);
    }

    private void apply(SubscriberState.Update update) {
        if (update.document() != null) {
            appliedDocument = update.document();
        }
        if (update.drains() != null) {
            appliedDrainNumber = SimulatedGroup.drainNumber(update.drains());
        }
    }

    private void failOverIfNeeded(WatchResponse response) {
        boolean granted = response.leaseMicros() > 0;
        boolean aboutToExpire = granted && response.leaseMicros() < MemberSelector.LEASE_MIN_MICROS;
        if (aboutToExpire || response.leaseMicros() == 0 && selector.onLeaseDenied(clockMicros())) {
            failOver();
        } else {
            selector.onSuccess();
            if (granted) {
                selector.onLeaseGranted();
            }
        }
    }

    private WatchResponse corruptAtRandom(WatchResponse response) {
        boolean corrupted = response.event() instanceof WatchResponse.Event.Deltas
                && network.random.nextDouble() < group.corruptionRatio();
        return corrupted
                ? CorruptedResponse.of(response, appliedDocument, group.planted() == PlantedFault.DIGEST_UNCHECKED)
                : response;
    }

    void requireApplied(long index) {
        mustHaveAppliedIndex = Math.max(mustHaveAppliedIndex, index);
    }

    /** Checks the applied state, unless the subscriber is fenced or not running. */
    void check() {
        if (!responds() || state == null || !state.hasLease(clockMicros())) {
            return;
        }
        if (appliedDocument != null && !group.isCommitted(appliedDocument)) {
            group.addFinding(name() + " acts on a document that was never committed");
        }
        group.forEachFromNewest(change -> {
            if (hasApplied(change)) {
                // It has applied all earlier changes as well.
                return false;
            }
            group.reportUnapplied(name(), change, mustHaveAppliedIndex);
            return true;
        });
    }

    private boolean hasApplied(CommittedChange change) {
        boolean documentApplied = change.document() == null
                || appliedDocument != null
                        && appliedDocument.revision() >= change.document().revision();
        return appliedDrainNumber >= change.drainNumber() && documentApplied;
    }

    /** Whether the subscriber has a lease and has applied the last change. */
    boolean isHealthy(CommittedChange last) {
        return state.hasLease(clockMicros())
                && appliedDocument != null
                && appliedDocument.revision() >= last.document().revision()
                && appliedDrainNumber >= last.drainNumber();
    }
}
