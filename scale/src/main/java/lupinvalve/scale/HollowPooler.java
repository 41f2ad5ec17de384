package lupinvalve.scale;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lupinvalve.audit.Lease;
import lupinvalve.config.OperatorConfig;
import lupinvalve.net.Net;
import lupinvalve.replication.ControlPlane;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * A pooler without client listeners and db nodes: only the daemon's control code, which validates and reads each
 * configuration as the daemon does.
 */
final class HollowPooler implements ControlPlane.Listener {
    private final String name;
    private final OpenPlane controlPlane;
    private final Consumer<HostEvent> events;
    private static final long LEASE_NANOS = TimeUnit.MICROSECONDS.toNanos(Lease.DURATION_MICROS);
    private boolean mayAct;
    /** Lease end at the last poll, in nanoseconds of the monotonic clock; Long.MAX_VALUE where it is not known. */
    private long lastLeaseEndNanos;

    HollowPooler(String name, OpenPlane controlPlane, Consumer<HostEvent> events) {
        this.name = name;
        this.controlPlane = controlPlane;
        this.events = events;
    }

    void start() throws IOException {
        events.accept(HostEvent.of(HostEvent.What.STARTED, name));
        controlPlane.plane().start(this);
    }

    void stop() {
        controlPlane.plane().stop();
        events.accept(HostEvent.of(HostEvent.What.STOPPED, name));
    }

    Net.Traffic traffic() {
        return controlPlane.traffic().get();
    }

    /**
     * Reports whether the right to act was gained or lost since the last poll. Called on the host's polling thread
     * only.
     */
    void pollLease() {
        long leaseEndNanos = controlPlane.leaseEndNanos().getAsLong();
        boolean mayActNow = controlPlane.plane().mayServe();
        // On a busy machine a poll may come long after a lease has ended and the next one has begun; a lease begins at
        // the time of its request.
        boolean lapsed = mayAct && leaseEndNanos != Long.MAX_VALUE && leaseEndNanos - LEASE_NANOS > lastLeaseEndNanos;
        if (mayAct && (!mayActNow || lapsed)) {
            events.accept(HostEvent.mayAct(name, false, lapsed ? lastLeaseEndNanos : leaseEndNanos));
        }
        if (mayActNow && (!mayAct || lapsed)) {
            events.accept(HostEvent.mayAct(name, true, lapsed ? leaseEndNanos - LEASE_NANOS : Long.MAX_VALUE));
        }
        mayAct = mayActNow;
        lastLeaseEndNanos = leaseEndNanos;
    }

    @Override
    public String validationError(byte[] document) {
        return OperatorConfig.validationError(document).orElse(null);
    }

    @Override
    public String transitionError(byte[] current, byte[] next) {
        return OperatorConfig.changeRejection(current, next).orElse(null);
    }

    @Override
    public void configurationAccepted(ReplicatedState.Document document) {
        try {
            // The same reading that the daemon does on its core thread.
            OperatorConfig.NONE.accepted(document.content());
            events.accept(HostEvent.adopted(name, document.revision(), document.digest()));
        } catch (IOException e) {
            events.accept(HostEvent.failed(name, e.getMessage()));
        }
    }

    @Override
    public void drainsChanged(Map<Command.DrainTarget, ReplicatedState.Drain> holds) {
        events.accept(HostEvent.holds(name, holds.size()));
    }

    @Override
    public void commitsAccepted(Command.SessionCommits commits) {
        // A hollow pooler has no sessions.
    }
}
