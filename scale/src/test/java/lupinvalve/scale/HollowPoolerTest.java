package lupinvalve.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import lupinvalve.net.Net;
import lupinvalve.replication.ControlPlane;
import lupinvalve.statemachine.Command;
import org.junit.jupiter.api.Test;

/**
 * A hollow pooler reports gain and loss of its right to act with the right times, also if it was not polled for longer
 * than a lease.
 */
class HollowPoolerTest {
    private final AtomicBoolean mayAct = new AtomicBoolean();
    private final AtomicLong leaseEndNanos = new AtomicLong();
    private final List<HostEvent> events = new ArrayList<>();
    private final HollowPooler pooler = new HollowPooler(
            "h1", new OpenPlane(new Plane(), () -> new Net.Traffic(0, 0, 0), leaseEndNanos::get), events::add);

    private final class Plane implements ControlPlane {
        @Override
        public InitialState initialState() {
            return null;
        }

        @Override
        public void start(ControlPlane.Listener listener) {
            // No events.
        }

        @Override
        public boolean mayServe() {
            return mayAct.get();
        }

        @Override
        public boolean fencingEnabled() {
            return true;
        }

        @Override
        public boolean isLeader() {
            return false;
        }

        @Override
        public void publishCommit(String session, long position, Runnable then) {
            // No sessions.
        }

        @Override
        public void publishEndpoints(List<Command.KnownEndpoint> nodes) {
            // No list.
        }

        @Override
        public void reloadCertificates() {
            // No keys.
        }

        @Override
        public void stop() {
            // Nothing to stop.
        }
    }

    private void poll(boolean mayActNow, long endNanos) {
        mayAct.set(mayActNow);
        leaseEndNanos.set(endNanos);
        pooler.pollLease();
    }

    @Test
    void leaseThatEndsAndIsRegrantedBetweenTwoPollsIsReported() {
        long now = System.nanoTime();
        long first = now - TimeUnit.SECONDS.toNanos(20);
        long next = now - TimeUnit.SECONDS.toNanos(1);
        poll(true, first);
        poll(true, next);
        assertEquals(
                List.of(HostEvent.What.MAY_ACT, HostEvent.What.MAY_NOT, HostEvent.What.MAY_ACT),
                events.stream().map(HostEvent::what).toList());
        assertEquals(first, events.get(1).atNanos());
        assertEquals(next - TimeUnit.SECONDS.toNanos(2), events.get(2).atNanos());
    }

    @Test
    void renewalIsNotReportedAndExpiryHasTheTimeOfTheLeaseEnd() {
        long now = System.nanoTime();
        long first = now - TimeUnit.SECONDS.toNanos(4);
        long next = now - TimeUnit.SECONDS.toNanos(3);
        poll(true, first);
        poll(true, next);
        poll(false, next);
        assertEquals(
                List.of(HostEvent.What.MAY_ACT, HostEvent.What.MAY_NOT),
                events.stream().map(HostEvent::what).toList());
        assertEquals(next, events.get(1).atNanos());
    }
}
