package lupinvalve.scale;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import lupinvalve.config.OperatorConfig;
import lupinvalve.net.Net;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.RaftMember;
import lupinvalve.replication.Subscriber;

/**
 * A pooler's control plane, opened as the daemon opens it, with access to its traffic counters and its lease.
 *
 * @param leaseEndNanos end of its last lease in nanoseconds of the machine's monotonic clock; Long.MAX_VALUE if the
 *     control plane does not expose it
 */
record OpenPlane(ControlPlane plane, Supplier<Net.Traffic> traffic, LongSupplier leaseEndNanos) {
    static OpenPlane member(OperatorConfig.Store store) throws IOException {
        RaftMember member = new RaftMember(store);
        return new OpenPlane(member, member::traffic, () -> Long.MAX_VALUE);
    }

    static OpenPlane subscriber(OperatorConfig.Store store) throws IOException {
        Subscriber subscriber = new Subscriber(store);
        return new OpenPlane(
                subscriber,
                () -> {
                    Subscriber.Traffic traffic = subscriber.traffic();
                    return new Net.Traffic(traffic.sentBytes(), traffic.receivedBytes(), traffic.requests());
                },
                () -> TimeUnit.MICROSECONDS.toNanos(subscriber.leaseUntilMicros()));
    }
}
