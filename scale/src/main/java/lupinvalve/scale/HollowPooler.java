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
 * A pooler without fronts and db nodes: the daemon's control code, which reads each configuration as the daemon does.
 */
final class HollowPooler implements ControlPlane.Listener {
    private final String name;
    private final OpenPlane open;
    private final Consumer<HostEvent> events;
    private static final long LEASE_NANOS = TimeUnit.MICROSECONDS.toNanos(Lease.DURATION_MICROS);
    private boolean may;
    /** At the last look. */
    private long leaseEnd;

    HollowPooler(String name, OpenPlane open, Consumer<HostEvent> events) {
        this.name = name;
        this.open = open;
        this.events = events;
    }

    void start() throws IOException {
        events.accept(HostEvent.of(HostEvent.What.STARTED, name));
        open.plane().start(this);
    }

    void stop() {
        open.plane().stop();
        events.accept(HostEvent.of(HostEvent.What.STOPPED, name));
    }

    Net.Traffic traffic() {
        return open.traffic().get();
    }

    /** Tells where the right to act has come or gone since the last look; always from the same thread. */
    void look() {
        long end = open.leaseEndNanos().getAsLong();
        boolean now = open.plane().mayServe();
        // On a busy machine a look may come long after a lease has ended, and after the next one has begun, which
        // counts from its request.
        boolean lapsed = may && end != Long.MAX_VALUE && end - LEASE_NANOS > leaseEnd;
        if (may && (!now || lapsed)) {
            events.accept(HostEvent.may(name, false, lapsed ? leaseEnd : end));
        }
        if (now && (!may || lapsed)) {
            events.accept(HostEvent.may(name, true, lapsed ? end - LEASE_NANOS : Long.MAX_VALUE));
        }
        may = now;
        leaseEnd = end;
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
            // What the daemon does on its core thread.
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
        // Sessions are none of a hollow pooler's.
    }
}
