package lupinvalve.scale;

import java.io.IOException;
import java.util.function.Supplier;
import lupinvalve.config.OperatorConfig;
import lupinvalve.net.Net;
import lupinvalve.replication.ControlPlane;
import lupinvalve.replication.Group;
import lupinvalve.replication.Subscriber;

/** A pooler's control plane as the daemon opens it, with a way to its traffic. */
record OpenPlane(ControlPlane plane, Supplier<Net.Traffic> traffic) {
    static OpenPlane member(OperatorConfig.Store store) throws IOException {
        Group group = new Group(store);
        return new OpenPlane(group, group::traffic);
    }

    static OpenPlane subscriber(OperatorConfig.Store store) throws IOException {
        Subscriber subscriber = new Subscriber(store);
        return new OpenPlane(subscriber, () -> {
            Subscriber.Traffic traffic = subscriber.traffic();
            return new Net.Traffic(traffic.bytesOut(), traffic.bytesIn(), traffic.calls());
        });
    }
}
