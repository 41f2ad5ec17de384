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
 * A pooler's member of the Raft group: opens the folder, the TLS keys and the connections, and dispatches calls to the
 * group's thread, the event loop {@code store}. The group has a thread of its own because one force of the disk takes
 * as long as serving many requests.
 */
public final class RaftMember implements ControlPlane {
    private static final int STOP_TIMEOUT_SECONDS = 3;

    /** Wraps a member's use of disk, scheduler and network, so that fault injection can count and disturb each step. */
    public interface Interceptors {
        /** Passes everything through unchanged. */
        Interceptors NONE = new Interceptors() {};

        /** The disk that the member uses in place of {@code folder}. */
        default Disk disk(Disk folder) {
            return folder;
        }

        /** The scheduler that the member uses in place of {@code own}. */
        default Scheduler scheduler(Scheduler own) {
            return own;
        }

        /**
         * Whether a Raft message is to be sent ({@code outgoing}), or handled once received; otherwise it is dropped.
         */
        default boolean permitsMessage(boolean outgoing) {
            return true;
        }
    }

    private final OperatorConfig.Store config;
    private final EventLoop loop = new EventLoop("store");
    /** Null if TLS is not configured; then all addresses are on loopback. */
    private final Tls tls;

    private final Net net;
    private final MemberRuntime runtime;
    private final AtomicBoolean stopping = new AtomicBoolean();

    /**
     * Opens the folder.
     *
     * @throws IOException with a message of one line that names the folder or the setting at fault
     */
    public RaftMember(OperatorConfig.Store config) throws IOException {
        this(config, Interceptors.NONE);
    }

    /** Opens the folder, with interceptors around disk, scheduler and messages. */
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

    /** The committed state recorded on this member's own disk at its start, before contact with other members. */
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

    /** The address that this member listens at; only after {@link #start}. */
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

    /** Whether this member leads, according to its own Raft state; from any thread. */
    @Override
    public boolean isLeader() {
        return runtime.isLeader();
    }

    /** Traffic counters of this member's connections; from any thread. */
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

    /** Stops at once; requests in flight may have been applied. From any thread but the group's. */
    @Override
    public void stop() {
        if (stopping.getAndSet(true)) {
            return;
        }
        CountDownLatch stopped = new CountDownLatch(1);
        loop.post(() -> runtime.stop(stopped::countDown));
        try {
            if (!stopped.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                Log.warn("store: member did not stop within %s s; closing its connections", STOP_TIMEOUT_SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        net.close();
        loop.stop();
    }
}
