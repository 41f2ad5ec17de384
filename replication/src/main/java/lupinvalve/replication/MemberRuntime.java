package lupinvalve.replication;

import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.net.Net;
import lupinvalve.statemachine.ActiveConfiguration;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.MembershipChange;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Runs one member of the Raft group: its bootstrap, its Raft replica, the pooler's notification of committed changes,
 * and the reopening of a failed disk. On the group's thread, except {@link #isLeader}.
 */
final class MemberRuntime {
    private static final long TICK_INTERVAL_MICROS = 100_000;
    /** Delay before a failed disk is reopened; doubled with each failed attempt. */
    private static final long REOPEN_BACKOFF_MICROS = 500_000;

    private static final long MAX_REOPEN_BACKOFF_MICROS = 16_000_000;

    private final OperatorConfig.Store config;
    private final EventLoop loop;
    private final RaftMember.Interceptors interceptors;
    private final Scheduler scheduler;
    private final Disk disk;
    private final ReplicatedState initialState;
    private final ClusterBootstrap bootstrap;
    private final PeerConnections peers;
    private final MemberAddresses addresses;
    private final RequestHandler requestHandler = new RequestHandler(this);
    private final SubscriptionServer subscriptions;
    private final LegacyStoreImport legacyImport;
    private final SessionCommitPublisher commits;
    private final ConfigurationActivator activator;
    /** Null if the audit is off in the operator's configuration. */
    private final LeaseHolder leaseHolder;

    private SegmentedLog log;
    private ControlPlane.Listener listener;
    /** Null until the bootstrap is over; terminated while a failed disk is not reopened. */
    private RaftReplica replica;
    /** Why the replica has terminated; null while it has not. */
    private RaftReplica.Termination termination;
    /** Null if unknown. */
    private MemberId leader;

    private String loggedPendingReason = "";
    private boolean stopped;
    private long reopenAtMicros;
    private long reopenBackoffMicros = REOPEN_BACKOFF_MICROS;
    private volatile boolean leading;

    /** Opens the folder; the message of a thrown exception is one line that names the folder and the fault. */
    MemberRuntime(
            OperatorConfig.Store config,
            EventLoop loop,
            Net net,
            PeerConnections.IdentityCheck identityCheck,
            RaftMember.Interceptors interceptors)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.interceptors = interceptors;
        scheduler = interceptors.scheduler(Scheduler.of(loop));
        disk = interceptors.disk(new FolderDisk(config.folder(), true));
        try {
            log = SegmentedLog.open(disk, config.cluster(), config.name(), SegmentedLog.newDiskId());
            initialState = RaftReplica.committedState(log);
        } catch (IOException | IllegalArgumentException e) {
            disk.close();
            throw new IOException("store " + config.folder() + ": " + e.getMessage(), e);
        }
        legacyImport = new LegacyStoreImport(LegacyStoreFile.read(config.folder()));
        boolean fencing = config.audit() == OperatorConfig.Audit.FENCE;
        leaseHolder = config.audit() == OperatorConfig.Audit.OFF
                ? null
                : new LeaseHolder(new LeaseHost(), config.name(), fencing, disk, loop.now());
        subscriptions = new SubscriptionServer(this, initialState);
        activator = new ConfigurationActivator(loop, leaseHolder);
        commits = new SessionCommitPublisher(loop, this::canPropose, this::propose);
        bootstrap = new ClusterBootstrap(log.announcement(), config.members().keySet());
        PeerConnections.Self self = new PeerConnections.Self(config.cluster(), config.name(), config.listen());
        peers = new PeerConnections(net, loop, self, log.announcement(), identityCheck, new PeerListener());
        addresses = new MemberAddresses(config.members().keySet(), peers);
    }

    /** Starts the member; {@code callbacks} is notified first of the state committed before the start. */
    void start(ControlPlane.Listener callbacks) {
        listener = callbacks;
        if (initialState.document() != null) {
            activate(initialState.document());
        }
        listener.drainsChanged(initialState.drains());
        config.members().forEach(peers::setMemberAddress);
        advanceBootstrap();
        tick();
    }

    /** Stops at once; {@code callback} runs when the log is closed. */
    void stop(Runnable callback) {
        stopped = true;
        commits.stop();
        peers.stop();
        if (leaseHolder != null) {
            leaseHolder.close(loop.now());
        }
        if (replica != null) {
            replica.terminate(RaftReplica.Termination.STOPPED);
        }
        scheduler.post(() -> {
            log.close(true);
            callback.run();
        });
    }

    /** Whether this member leads, according to its own Raft state; from any thread. */
    boolean isLeader() {
        return leading;
    }

    /** Replicates a session's commit; {@code onCommitted}, if not null, runs once a majority has it. */
    void publishCommit(String session, long position, Runnable onCommitted) {
        commits.publish(session, position, onCommitted);
    }

    /** Replicates this pooler's list of db nodes if this member leads; otherwise does nothing. */
    void publishEndpoints(List<Command.KnownEndpoint> endpoints) {
        if (leading) {
            replica.propose(new Command.EndpointList(loop.now(), endpoints), (completion, outcome) -> {});
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        MemberId currentLeader = replica == null ? null : replica.leader();
        if (currentLeader != null && !currentLeader.equals(leader)) {
            Log.info("store: %s leads, term %s", currentLeader, replica.term());
        }
        leader = currentLeader;
        reopenFailedDisk();
        leading = replica != null && replica.isLeader();
        updateQuorumContact();
        if (awaitsBootstrap()) {
            logPendingBootstrap();
        } else if (leading) {
            addresses.proposeMissing(replica);
            legacyImport.propose(
                    replica,
                    document -> listener.validationError(document) == null,
                    (session, position) -> commits.add(session, position));
        }
        if (leaseHolder != null) {
            leaseHolder.tick(leading, loop.now());
        }
        commits.proposeDueBatch();
        loop.after(TICK_INTERVAL_MICROS, this::tick);
    }

    private void updateQuorumContact() {
        String line = activator.active().onQuorumContact(leader != null, loop.now());
        if (line != null) {
            Log.warn("store: %s", line);
            if (leaseHolder != null) {
                leaseHolder.onQuorumContact(!activator.active().isQuorumLost(), loop.now());
            }
        }
    }

    private boolean awaitsBootstrap() {
        ClusterBootstrap.Phase phase = log.announcement().phase();
        return phase == ClusterBootstrap.Phase.UNBOUND || phase == ClusterBootstrap.Phase.BOUND;
    }

    private void logPendingBootstrap() {
        if (!bootstrap.pendingReason().equals(loggedPendingReason)) {
            loggedPendingReason = bootstrap.pendingReason();
            Log.info("store: the Raft group is not bootstrapped yet: %s", loggedPendingReason);
        }
    }

    /** Persists this member's announcement, then sends it to the others; starts the replica once bootstrapped. */
    private void advanceBootstrap() {
        try {
            while (!bootstrap.own().equals(log.announcement())) {
                log.persistAnnouncement(bootstrap.own());
                Log.info(
                        "store: %s %s",
                        log.announcement().member(),
                        switch (log.announcement().phase()) {
                            case BOUND -> "is bound to the founders of the Raft group; waiting for the others to be bound";
                            case BOOTSTRAPPED -> "has bootstrapped the Raft group as a founder";
                            default -> "is not a member yet: waiting for `store add " + config.name() + "`";
                        });
                peers.announce(log.announcement());
            }
        } catch (IOException e) {
            onTerminated(RaftReplica.Termination.DISK_FAILURE);
            return;
        }
        if (!awaitsBootstrap() && replica == null && termination == null && !stopped) {
            replica = new RaftReplica(
                    scheduler, log, log.announcement().founders(), new Sender(), new Random(), new StateListener());
            replica.start();
        }
    }

    private void activate(ReplicatedState.Document document) {
        if (!activator.onCommitted(document, listener)) {
            if (replica != null) {
                replica.terminate(RaftReplica.Termination.DISK_FAILURE);
            }
            onTerminated(RaftReplica.Termination.DISK_FAILURE);
        }
    }

    private void onTerminated(RaftReplica.Termination reason) {
        if (termination == null) {
            termination = reason;
            leading = false;
            reopenAtMicros = loop.now() + reopenBackoffMicros;
            if (!stopped) {
                Log.error(
                        "store: the Raft node has terminated: %s; %s",
                        reason.reason(), activator.active().describe());
            }
        }
    }

    /**
     * Reopens the log after a disk failure, with backoff, and starts a new replica from it. Each file is read, written
     * and forced again first, since pages of a failed force may be readable but not durable.
     */
    private void reopenFailedDisk() {
        if (termination == null
                || termination.cause() != RaftReplica.Termination.Cause.DISK_FAILURE
                || loop.now() < reopenAtMicros) {
            return;
        }
        reopenBackoffMicros = Math.min(MAX_REOPEN_BACKOFF_MICROS, reopenBackoffMicros * 2);
        reopenAtMicros = loop.now() + reopenBackoffMicros;
        try {
            SegmentedLog reopened = SegmentedLog.reopenAfterFault(disk, config.cluster(), config.name());
            log.close(false);
            log = reopened;
        } catch (IOException e) {
            Log.warn("store: reopening the disk failed: %s; retrying in %s us", e.getMessage(), reopenBackoffMicros);
            return;
        }
        Log.info("store: the disk has recovered; restarting the Raft node from its log");
        termination = null;
        replica = null;
        reopenBackoffMicros = REOPEN_BACKOFF_MICROS;
        advanceBootstrap();
    }

    private boolean canPropose() {
        return replica != null && leader != null && termination == null;
    }

    /** Proposes a command, through the leader if another member leads; requires {@link #canPropose}. */
    private void propose(Command command, Consumer<Boolean> callback) {
        if (replica.isLeader()) {
            replica.propose(
                    command, (completion, outcome) -> callback.accept(completion == RaftReplica.Completion.DONE));
        } else {
            peers.call(
                    leader,
                    RequestHandler.PROPOSE,
                    List.of(CommandCodec.encode(command)),
                    RequestHandler.FORWARD_TIMEOUT_MICROS,
                    response -> callback.accept(response.status() == WireMessages.Status.OK));
        }
    }

    // ---- callbacks from the parts ----

    private final class Sender implements RaftReplica.MessageSender {
        @Override
        public void send(MemberId to, byte[] message) {
            if (interceptors.permitsMessage(true)) {
                peers.send(to, message);
            }
        }

        @Override
        public boolean reaches(MemberId member) {
            return peers.reaches(member);
        }
    }

    private final class PeerListener implements PeerConnections.Listener {
        @Override
        public void announced(ClusterBootstrap.Announcement announcement, String address) {
            addresses.onAnnounced(announcement.member().name(), address);
            bootstrap.onAnnouncement(announcement);
            advanceBootstrap();
        }

        @Override
        public void disconnected(MemberId member) {
            bootstrap.onDisconnected(member.name());
            addresses.onDisconnected(member.name());
        }

        @Override
        public void raftMessage(byte[] message) throws IOException {
            if (replica != null && interceptors.permitsMessage(false)) {
                replica.handle(message);
            }
        }

        @Override
        public void request(String caller, WireMessages.Request request, Consumer<WireMessages.Response> channel) {
            requestHandler.handle(caller, request, channel);
        }
    }

    private final class LeaseHost implements LeaseHolder.Host {
        @Override
        public RaftReplica replica() {
            return replica;
        }

        @Override
        public MemberId leader() {
            return leader;
        }

        @Override
        public void runAfterApplied(Runnable callback) {
            listener.runAfterApplied(() -> loop.post(callback));
        }

        @Override
        public String cannotServeReason() {
            return termination != null
                    ? termination.reason()
                    : activator.active().unreadableReason();
        }

        @Override
        public void call(
                MemberId member,
                String name,
                List<byte[]> arguments,
                long timeoutMicros,
                Consumer<WireMessages.Response> callback) {
            peers.call(member, name, arguments, timeoutMicros, callback);
        }

        @Override
        public void propose(Command command, Consumer<Boolean> callback) {
            if (canPropose()) {
                MemberRuntime.this.propose(command, callback);
            } else {
                callback.accept(false);
            }
        }

        @Override
        public long lastChangeIndex() {
            return subscriptions.lastChangeIndex();
        }

        @Override
        public long subscribersIndex() {
            return subscriptions.appliedFloor();
        }

        @Override
        public void onLeaseGranted(long untilMicros, long leaderLastChangeIndex) {
            subscriptions.onOwnLease(untilMicros, leaderLastChangeIndex);
        }
    }

    private final class StateListener implements RaftReplica.StateListener {
        @Override
        public void applied(long index, Command command, ReplicatedState.Outcome outcome) {
            if (replica == null) {
                // From a replica discarded after a disk failure; its successor applies the entry again.
                return;
            }
            subscriptions.onApplied(replica.state(), command, outcome);
            if (command instanceof Command.PutDocument && outcome.result() == ReplicatedState.Result.APPLIED) {
                activate(replica.state().document());
            } else if (command instanceof Command.StartDrain || command instanceof Command.EndDrain) {
                listener.drainsChanged(replica.state().drains());
            } else if (command instanceof Command.SessionCommits sessionCommits) {
                listener.commitsAccepted(sessionCommits);
            } else if (command instanceof Command.SetMemberAddress set) {
                addresses.onCommitted(set.member(), set.address());
            }
        }

        @Override
        public void restored() {
            if (replica == null) {
                return;
            }
            ReplicatedState state = replica.state();
            subscriptions.onRestored(state);
            if (state.document() != null) {
                activate(state.document());
            }
            listener.drainsChanged(state.drains());
            listener.commitsAccepted(state.sessionCommits());
            state.memberAddresses().forEach(addresses::onCommitted);
        }

        @Override
        public void terminated(RaftReplica.Termination reason) {
            onTerminated(reason);
        }
    }

    // ---- state read by requests ----

    /** The committed state recorded on this member's own disk at its start; from any thread. */
    ReplicatedState initialState() {
        return initialState;
    }

    /** The replica, running or terminated; null until the bootstrap is over. */
    RaftReplica replica() {
        return replica;
    }

    /** Why the replica has terminated, or null while it has not. */
    RaftReplica.Termination termination() {
        return termination;
    }

    ClusterBootstrap bootstrap() {
        return bootstrap;
    }

    MemberId leader() {
        return leader;
    }

    PeerConnections peers() {
        return peers;
    }

    ControlPlane.Listener listener() {
        return listener;
    }

    SubscriptionServer subscriptions() {
        return subscriptions;
    }

    /** Null if the audit is off. */
    LeaseHolder leaseHolder() {
        return leaseHolder;
    }

    ActiveConfiguration configuration() {
        return activator.active();
    }

    OperatorConfig.Store config() {
        return config;
    }

    SegmentedLog log() {
        return log;
    }

    EventLoop loop() {
        return loop;
    }

    /** The group as this member sees it while it leads, with the connected nodes that are not members. */
    MembershipChange.GroupView groupView(RaftNodeReport report) {
        Set<MemberId> connected = peers.connected();
        Set<MemberId> nonMembers = new TreeSet<>(connected);
        nonMembers.removeAll(RaftReplica.members(report));
        return RaftReplica.groupView(report, nonMembers, connected);
    }
}
