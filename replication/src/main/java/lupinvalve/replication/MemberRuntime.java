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
 * One member's part in the Raft group: follows the bootstrap, runs the Raft node on the disk, hands on what is
 * committed, and opens a disk anew that failed. On the group's thread but for {@link #isLeader}.
 */
final class MemberRuntime {
    private static final long TICK_INTERVAL_MICROS = 100_000;
    /** How soon a disk that failed is opened again. */
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
    private final RequestHandler requests = new RequestHandler(this);
    private final SubscriptionServer subscriptions;
    private final LegacyStoreImport legacyImport;
    private final SessionCommitPublisher commits;
    private final ConfigurationActivator activator;
    /** Null where the operator's file does not turn the audit on. */
    private final LeaseHolder leaseHolder;

    private SegmentedLog log;
    private ControlPlane.Listener listener;
    /** Null before the bootstrap is over, and while a disk that failed is not open again. */
    private RaftReplica replica;
    /** Null while this member takes part. */
    private RaftReplica.Termination termination;
    /** Null where none is known. */
    private MemberId leader;

    private String loggedPendingReason = "";
    private boolean stopped;
    private long reopenAtMicros;
    private long reopenBackoffMicros = REOPEN_BACKOFF_MICROS;
    private volatile boolean leading;

    /** Opens the folder; throws with one line that says what is wrong with it and where. */
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

    /** Begins to take part; {@code callbacks} hears first what was committed before. */
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

    /** Ends at once; {@code then} runs when the log is closed. */
    void stop(Runnable then) {
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
            then.run();
        });
    }

    /** Whether this member leads, as far as it knows; from any thread. */
    boolean isLeader() {
        return leading;
    }

    /** A session's commit here; {@code onCommitted}, if any, runs once a majority holds it. */
    void publishCommit(String session, long position, Runnable onCommitted) {
        commits.publish(session, position, onCommitted);
    }

    /** The list of db nodes as this pooler has it; the leader's goes to all. */
    void publishEndpoints(List<Command.KnownEndpoint> endpoints) {
        if (leading) {
            replica.propose(new Command.EndpointList(loop.now(), endpoints), (completion, outcome) -> {});
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        MemberId known = replica == null ? null : replica.leader();
        if (known != null && !known.equals(leader)) {
            Log.info("store: %s leads, term %s", known, replica.term());
        }
        leader = known;
        reopenFailedDisk();
        leading = replica != null && replica.isLeader();
        noteQuorumContact();
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

    private void noteQuorumContact() {
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
            Log.info("store: the group is not founded yet: %s", loggedPendingReason);
        }
    }

    /** Brings the own announcement to disk, then to the others; joins the group once there is one. */
    private void advanceBootstrap() {
        try {
            while (!bootstrap.own().equals(log.announcement())) {
                log.persistAnnouncement(bootstrap.own());
                Log.info(
                        "store: %s %s",
                        log.announcement().member(),
                        switch (log.announcement().phase()) {
                            case BOUND -> "is bound to found the group";
                            case BOOTSTRAPPED -> "has founded the group";
                            default -> "is no member yet: it waits for `store add " + config.name() + "`";
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
     * A member whose disk failed takes part again once the disk is good, from what is really there: each file is read
     * and forced anew before anything of it is believed. Retried with backoff.
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
            Log.warn("store: the disk can't be opened again yet: %s", e.getMessage());
            return;
        }
        Log.info("store: the disk works again; the Raft node restarts from its log");
        termination = null;
        replica = null;
        reopenBackoffMicros = REOPEN_BACKOFF_MICROS;
        advanceBootstrap();
    }

    private boolean canPropose() {
        return replica != null && leader != null && termination == null;
    }

    /** Proposes a command here or through the leader; only where {@link #canPropose}. */
    private void propose(Command command, Consumer<Boolean> then) {
        if (replica.isLeader()) {
            replica.propose(command, (completion, outcome) -> then.accept(completion == RaftReplica.Completion.DONE));
        } else {
            peers.call(
                    leader,
                    RequestHandler.PROPOSE,
                    List.of(CommandCodec.encode(command)),
                    RequestHandler.FORWARD_TIMEOUT_MICROS,
                    response -> then.accept(response.status() == WireMessages.Status.OK));
        }
    }

    // ---- what the parts tell this member ----

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
            requests.handle(caller, request, channel);
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
        public void runAfterApplied(Runnable then) {
            listener.runAfterApplied(() -> loop.post(then));
        }

        @Override
        public String objection() {
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
                Consumer<WireMessages.Response> then) {
            peers.call(member, name, arguments, timeoutMicros, then);
        }

        @Override
        public void propose(Command command, Consumer<Boolean> then) {
            if (canPropose()) {
                MemberRuntime.this.propose(command, then);
            } else {
                then.accept(false);
            }
        }

        @Override
        public long relevantIndex() {
            return subscriptions.lastChangeIndex();
        }

        @Override
        public long followersIndex() {
            return subscriptions.appliedFloor();
        }

        @Override
        public void onLeaseGranted(long untilMicros, long leaderRelevantIndex) {
            subscriptions.onOwnLease(untilMicros, leaderRelevantIndex);
        }
    }

    private final class StateListener implements RaftReplica.StateListener {
        @Override
        public void applied(long index, Command command, ReplicatedState.Outcome outcome) {
            if (replica == null) {
                // A node that has been left; the next one comes to it as well.
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

    // ---- what requests look at ----

    /** What was committed as far as this member knew by itself at its start; from any thread. */
    ReplicatedState initialState() {
        return initialState;
    }

    /** Null before the bootstrap is over. */
    RaftReplica replica() {
        return replica;
    }

    /** Why this member takes no part any more, or null. */
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

    /** Null where the audit is off. */
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

    /** The group as this member sees it as its leader, with those connected that are no members. */
    MembershipChange.GroupView groupView(RaftNodeReport report) {
        Set<MemberId> connected = peers.connected();
        Set<MemberId> nonMembers = new TreeSet<>(connected);
        nonMembers.removeAll(RaftReplica.members(report));
        return RaftReplica.groupView(report, nonMembers, connected);
    }
}
