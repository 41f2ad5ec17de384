package lupinvalve.replication;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Link;
import lupinvalve.net.Net;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;

/**
 * One member of the Raft group beside a pooler: opens folder, keys and connections, and carries calls to the group's
 * thread ("store"). That is one of its own, since a force of the disk takes as long as many requests.
 */
public final class RaftMember implements ControlPlane {
    private static final int STOP_TIMEOUT_SECONDS = 3;

    /** Where a member meets its surroundings: fault injection counts and disturbs what goes through. */
    public interface Interceptors {
        /** Nothing is intercepted. */
        Interceptors NONE = new Interceptors() {};

        /** The way to a folder. */
        default Disk disk(Disk folder) {
            return folder;
        }

        /** Where the member's work runs. */
        default Scheduler scheduler(Scheduler own) {
            return own;
        }

        /** Whether a message to another member is sent ({@code outgoing}), or one that came is handled. */
        default boolean permitsMessage(boolean outgoing) {
            return true;
        }
    }

    private final OperatorConfig.Store config;
    private final EventLoop loop = new EventLoop("store");
    /** Null where no connection leaves the machine. */
    private final Tls tls;

    private final Net net;
    private final MemberRuntime runtime;
    private final AtomicBoolean stopping = new AtomicBoolean();

    /** Opens the folder; throws with one line that says what is wrong with it and where. */
    public RaftMember(OperatorConfig.Store config) throws IOException {
        this(config, Interceptors.NONE);
    }

    /** The same, with disk, scheduler and messages intercepted. */
    public RaftMember(OperatorConfig.Store config, Interceptors interceptors) throws IOException {
        this.config = config;
        tls = config.tls() == null ? null : new Tls(config.tls());
        if (tls == null) {
            requireLoopback(config);
        }
        net = new Net(loop, false, tls);
        runtime = new MemberRuntime(config, loop, net, this::checkIdentity, interceptors);
    }

    private static void requireLoopback(OperatorConfig.Store config) throws IOException {
        List<String> addresses = new ArrayList<>(config.members().values());
        addresses.add(config.listen());
        for (String address : addresses) {
            InetAddress host = Addresses.parse(address).getAddress();
            if (host == null || !host.isLoopbackAddress()) {
                throw new IOException("store.tls is missing: " + address + " is not on loopback");
            }
        }
    }

    private void checkIdentity(Link link, String name) throws IOException {
        if (tls != null) {
            Tls.check(link, name);
        }
    }

    /** What was committed as far as this member knows by itself; before {@link #start}. */
    public ReplicatedState initialReplicatedState() {
        return runtime.initialState();
    }

    @Override
    public InitialState initialState() {
        ReplicatedState state = runtime.initialState();
        return new InitialState(state.document(), state.endpointList().endpoints(), state.sessionCommits());
    }

    @Override
    public void start(Listener listener) throws IOException {
        runtime.peers().listen();
        loop.start();
        loop.post(() -> runtime.start(listener));
    }

    /** Where this member listens; after {@link #start}. */
    public InetSocketAddress address() {
        return runtime.peers().address();
    }

    @Override
    public boolean mayServe() {
        return runtime.leaseHolder() == null || runtime.leaseHolder().mayServe();
    }

    @Override
    public boolean fencingEnabled() {
        return config.audit() == OperatorConfig.Audit.FENCE;
    }

    /** Whether this member leads, as far as it knows; from any thread. */
    @Override
    public boolean isLeader() {
        return runtime.isLeader();
    }

    /** What has gone over this member's connections; from any thread. */
    public Net.Traffic traffic() {
        return net.traffic();
    }

    @Override
    public void reloadCertificates() throws IOException {
        if (tls != null) {
            tls.reload();
            net.reloadSecurity();
            Log.info("store: keys and certificates reloaded");
        }
    }

    @Override
    public void publishCommit(String session, long position, Runnable onCommitted) {
        loop.post(() -> runtime.publishCommit(session, position, onCommitted));
    }

    @Override
    public void publishEndpoints(List<Command.KnownEndpoint> endpoints) {
        loop.post(() -> runtime.publishEndpoints(endpoints));
    }

    /** Ends at once; what was requested and not answered may have happened. From any thread but the group's. */
    @Override
    public void stop() {
        if (stopping.getAndSet(true)) {
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> runtime.stop(done::countDown));
        try {
            if (!done.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                Log.warn("store: not stopped within %s s", STOP_TIMEOUT_SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        net.close();
        loop.stop();
    }
}
