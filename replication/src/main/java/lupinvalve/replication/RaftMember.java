package lupinvalve.replication;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;
import lupinvalve.statemachine.ActiveConfiguration;
import lupinvalve.statemachine.ClusterBootstrap;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.CommandCodec;
import lupinvalve.statemachine.MemberId;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.statemachine.SessionCommitBatcher;

/**
 * One member of the group with all that belongs to it: disk, connections, the founding, what operators ask, and what
 * the pooler beside it is told. It runs on a thread of its own, since a force of the disk takes as long as many
 * requests.
 */
public final class RaftMember implements ControlPlane {
    /** Answers that wait for a majority at once; those beyond go out when their bound is over. */
    private static final int HELD_MOST = 10_000;

    private static final long TICK = 100_000;
    /** How soon a disk that failed is tried again, and how late at most. */
    private static final long REVIVE = 500_000, REVIVE_MOST = 16_000_000;

    private final OperatorConfig.Store config;
    private final EventLoop loop = new EventLoop("store");
    private final Interceptors interceptors;
    private final Scheduler schedule;
    private final Tls tls;
    private final Net net;
    private final Disk disk;
    private SegmentedLog log;
    private final ReplicatedState warm;
    private final ActiveConfiguration adoption;
    private final ClusterBootstrap founding;
    private final PeerConnections peers;
    private final RequestHandler questions = new RequestHandler(this);
    private final SessionCommitBatcher outbox = new SessionCommitBatcher();
    private final TreeMap<Long, List<Runnable>> held = new TreeMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final AtomicBoolean ending = new AtomicBoolean();
    private int heldCount;
    private Listener listener;
    private RaftReplica replica;
    private String ended;
    private MemberId leader;
    private String waitsFor = "";
    private boolean outboxTimer, stopped;
    private long reviveAt, reviveAfter = REVIVE;
    private final LegacyStoreImport takeOver;
    /** Null where the operator's file does not turn it on. */
    private final LeaseHolder acting;

    private final SubscriptionServer subscriptions;
    private volatile boolean leading;

    /** Where a member meets the world. The program's own are these; a laboratory counts what goes through others. */
    public interface Interceptors {
        /** The program's own: the world as it is. */
        Interceptors NONE = new Interceptors() {};

        /** The way to a folder. */
        default Disk disk(Disk folder) {
            return folder;
        }

        /** Where the member's work runs. */
        default Scheduler schedule(Scheduler own) {
            return own;
        }

        /** Whether a message goes to another member, or one that came is heard. */
        default boolean passes(boolean sent) {
            return true;
        }
    }

    /** Opens the folder; throws with one line that says what is wrong with it and where. */
    public RaftMember(OperatorConfig.Store config) throws IOException {
        this(config, Interceptors.NONE);
    }

    /** The same, with disk, scheduler and messages intercepted. */
    public RaftMember(OperatorConfig.Store config, Interceptors interceptors) throws IOException {
        this.config = config;
        this.interceptors = interceptors;
        schedule = interceptors.schedule(Scheduler.of(loop));
        tls = config.tls() == null ? null : new Tls(config.tls());
        if (tls == null) {
            List<String> all = new ArrayList<>(config.members().values());
            all.add(config.listen());
            for (String address : all) {
                InetSocketAddress at = Addresses.parse(address);
                InetAddress host = at.getAddress();
                if (host == null || !host.isLoopbackAddress()) {
                    throw new IOException("store.tls is missing: " + address + " is not on loopback");
                }
            }
        }
        net = new Net(loop, false, tls);
        disk = interceptors.disk(new FolderDisk(config.folder(), true));
        try {
            log = SegmentedLog.open(disk, config.cluster(), config.name(), SegmentedLog.newDiskId());
            warm = RaftReplica.warm(log);
        } catch (IOException | IllegalArgumentException e) {
            disk.close();
            throw new IOException("store " + config.folder() + ": " + e.getMessage(), e);
        }
        takeOver = new LegacyStoreImport(LegacyStoreFile.read(config.folder()));
        acting = config.audit() == OperatorConfig.Audit.OFF
                ? null
                : new LeaseHolder(
                        new Acts(), config.name(), config.audit() == OperatorConfig.Audit.FENCE, disk, loop.now());
        subscriptions = new SubscriptionServer(this, warm);
        adoption = new ActiveConfiguration(loop.now());
        founding = new ClusterBootstrap(log.announcement(), config.members().keySet());
        peers = new PeerConnections(
                net,
                loop,
                config.cluster(),
                config.name(),
                config.listen(),
                log.announcement(),
                (link, name, member) -> {
                    if (tls != null) {
                        Tls.check(link, name);
                    }
                },
                new Hearing());
    }

    /** What was accepted as far as this member knows by itself; before {@link #start}. */
    public ReplicatedState warm() {
        return warm;
    }

    @Override
    public InitialState initialState() {
        return new InitialState(warm.document(), warm.endpointList().endpoints(), warm.sessionCommits());
    }

    /** Begins to take part; {@code callbacks} hears first what was accepted before. */
    @Override
    public void start(Listener callbacks) throws IOException {
        listener = callbacks;
        peers.listen();
        loop.start();
        loop.post(() -> {
            if (warm.document() != null) {
                adopt(warm.document());
            }
            listener.drainsChanged(warm.drains());
            config.members().forEach(peers::place);
            settle();
            tick();
        });
    }

    public InetSocketAddress address() {
        return peers.address();
    }

    /** Whether the pooler beside may act on what it knows; from any thread. */
    @Override
    public boolean mayServe() {
        return acting == null || acting.holds();
    }

    /** Whether the right to act can end here. */
    @Override
    public boolean fencingEnabled() {
        return config.audit() == OperatorConfig.Audit.FENCE;
    }

    /** Whether this member leads, as far as it knows; from any thread. */
    @Override
    public boolean isLeader() {
        return leading;
    }

    /** What has gone over this member's connections; from any thread. */
    public Net.Traffic traffic() {
        return net.traffic();
    }

    /** Keys and certificates as the files have them now; from any thread. Throws where they can't be used. */
    @Override
    public void reloadCertificates() throws IOException {
        if (tls != null) {
            tls.reload();
            net.secureAnew();
            Log.info("store: keys and certificates read anew");
        }
    }

    /** Ends at once; what was asked and not answered may have happened. From any thread but the group's. */
    @Override
    public void stop() {
        if (ending.getAndSet(true)) {
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            stopped = true;
            peers.stop();
            if (acting != null) {
                acting.ends(loop.now());
            }
            if (replica != null) {
                replica.end("stopped");
            }
            schedule.post(() -> {
                log.close(true);
                done.countDown();
            });
        });
        try {
            if (!done.await(3, TimeUnit.SECONDS)) {
                Log.warn("store: the end took too long");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        net.close();
        loop.stop();
    }

    // ---- the group ----
    private final RaftReplica.MessageSender sender = new RaftReplica.MessageSender() {
        @Override
        public void send(MemberId to, byte[] message) {
            if (interceptors.passes(true)) {
                peers.send(to, message);
            }
        }

        @Override
        public boolean reaches(MemberId who) {
            return peers.reaches(who);
        }
    };

    private final class Hearing implements PeerConnections.Heard {
        @Override
        public void word(ClusterBootstrap.Announcement word, String address) {
            addresses.put(word.member().name(), address);
            founding.onAnnouncement(word);
            settle();
        }

        @Override
        public void lost(MemberId who) {
            founding.onDisconnected(who.name());
            addresses.remove(who.name());
        }

        @Override
        public void raft(byte[] message) throws IOException {
            if (replica != null && interceptors.passes(false)) {
                replica.handle(message);
            }
        }

        @Override
        public void call(String caller, WireMessages.Request call, Consumer<WireMessages.Response> answer) {
            questions.call(caller, call, answer);
        }
    }

    private final class Acts implements LeaseHolder.Member {
        @Override
        public RaftReplica replica() {
            return replica;
        }

        @Override
        public MemberId leader() {
            return leader;
        }

        @Override
        public void reached(Runnable then) {
            listener.runAfterApplied(() -> loop.post(then));
        }

        @Override
        public String objection() {
            return ended != null ? ended : adoption.unreadableReason();
        }

        @Override
        public void call(
                MemberId whom,
                String what,
                List<byte[]> arguments,
                long withinMicros,
                Consumer<WireMessages.Response> then) {
            peers.call(whom, what, arguments, withinMicros, then);
        }

        @Override
        public void propose(Command change, Consumer<Boolean> accepted) {
            if (replica == null || leader == null || ended != null) {
                accepted.accept(false);
            } else {
                RaftMember.this.propose(change, accepted);
            }
        }

        @Override
        public long changed() {
            return subscriptions.lastChangeIndex();
        }

        @Override
        public long followersFloor() {
            return subscriptions.appliedFloor();
        }

        @Override
        public void right(long untilMicros, long leadersChanged) {
            subscriptions.onOwnLease(untilMicros, leadersChanged);
        }
    }

    /** Brings the own word to disk, then to the others; joins the group once there is one. */
    private void settle() {
        try {
            while (!founding.own().equals(log.announcement())) {
                log.persistAnnouncement(founding.own());
                Log.info(
                        "store: %s %s",
                        log.announcement().member(),
                        switch (log.announcement().phase()) {
                            case BOUND -> "is bound to found the group";
                            case BOOTSTRAPPED -> "has founded the group";
                            default -> "is no member yet: it waits for `store add " + config.name() + "`";
                        });
                peers.say(log.announcement());
            }
        } catch (IOException e) {
            end(RaftReplica.DISK);
            return;
        }
        ClusterBootstrap.Phase phase = log.announcement().phase();
        boolean grouped = phase == ClusterBootstrap.Phase.BOOTSTRAPPED || phase == ClusterBootstrap.Phase.JOINING;
        if (grouped && replica == null && ended == null && !stopped) {
            replica =
                    new RaftReplica(schedule, log, log.announcement().founders(), sender, new Random(), new Watching());
            replica.start();
        }
    }

    private final class Watching implements RaftReplica.StateListener {
        @Override
        public void applied(long index, Command change, ReplicatedState.Outcome outcome) {
            if (replica == null) { // A node that has been left; the next one comes to it as well.
                return;
            }
            subscriptions.onApplied(replica.ledger(), change, outcome);
            if (change instanceof Command.PutDocument && outcome.result() == ReplicatedState.Result.APPLIED) {
                adopt(replica.ledger().document());
            } else if (change instanceof Command.StartDrain || change instanceof Command.EndDrain) {
                listener.drainsChanged(replica.ledger().drains());
            } else if (change instanceof Command.SessionCommits commits) {
                listener.commitsAccepted(commits);
            } else if (change instanceof Command.SetMemberAddress place) {
                place(place.member(), place.address());
            }
        }

        @Override
        public void restored() {
            if (replica == null) {
                return;
            }
            ReplicatedState ledger = replica.ledger();
            subscriptions.onRestored(ledger);
            if (ledger.document() != null) {
                adopt(ledger.document());
            }
            listener.drainsChanged(ledger.drains());
            listener.commitsAccepted(ledger.sessionCommits());
            ledger.memberAddresses().forEach(RaftMember.this::place);
        }

        @Override
        public void ended(String why) {
            end(why);
        }
    }

    private void place(
            String member, String address) { // The operator's own file goes before: it knows the way from here.
        if (!config.members().containsKey(member)) {
            peers.place(member, address);
        }
    }

    private void adopt(ReplicatedState.Document document) {
        String objection = listener.validationError(document.content());
        ReplicatedState.Document before = adoption.active();
        switch (adoption.onCommitted(document, objection)) {
            case ACTIVATE -> {
                String version = LeaseHolder.version(document);
                if (acting != null && !acting.adopts(version, document.index(), loop.now())) {
                    adoption.revertTo(before);
                    if (replica != null) {
                        replica.end(RaftReplica.DISK);
                    }
                    end(RaftReplica.DISK);
                    return;
                }
                Log.info(
                        "store: adopted revision %s, change %s, digest %s",
                        document.revision(), document.index(), document.digest());
                listener.configurationAccepted(document);
                if (acting != null) {
                    listener.runAfterApplied(() -> loop.post(() -> acting.acts(version, document.index(), loop.now())));
                }
            }
            case UNREADABLE -> {
                Log.error("store: %s", adoption.describe());
                if (acting != null) {
                    acting.refuses(
                            LeaseHolder.version(document), document.index(), loop.now(), adoption.unreadableReason());
                }
            }
            default -> { // The one that is acted on.
            }
        }
    }

    private void end(String why) {
        if (ended == null) {
            ended = why;
            leading = false;
            reviveAt = loop.now() + reviveAfter;
            if (!stopped) {
                Log.error("store: takes no part any more: %s; %s", why, adoption.describe());
            }
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        MemberId now = replica == null ? null : replica.leader();
        if (now != null && !now.equals(leader)) {
            Log.info("store: %s leads, term %s", now, replica.term());
        }
        leader = now;
        revive();
        leading = replica != null && replica.leads();
        String line = adoption.onQuorumContact(leader != null, loop.now());
        if (line != null) {
            Log.warn("store: %s", line);
            if (acting != null) {
                acting.inTouch(!adoption.isQuorumLost(), loop.now());
            }
        }
        ClusterBootstrap.Phase phase = log.announcement().phase();
        if (phase == ClusterBootstrap.Phase.UNBOUND || phase == ClusterBootstrap.Phase.BOUND) {
            if (!founding.pendingReason().equals(waitsFor)) {
                waitsFor = founding.pendingReason();
                Log.info("store: the group is not founded yet: %s", waitsFor);
            }
        } else if (leading) {
            announce();
            takeOver.lead(
                    replica,
                    document -> listener.validationError(document) == null,
                    (session, position) -> outbox.add(session, position, loop.now()));
        }
        if (acting != null && listener != null) {
            acting.tick(leading, loop.now());
        }
        pump();
        loop.after(TICK, this::tick);
    }

    /**
     * A member whose disk failed takes part again once the disk is good, from what is really there: each file is read
     * and forced anew before anything of it is believed. Tried ever more rarely.
     */
    private void revive() {
        if (ended == null || !ended.equals(RaftReplica.DISK) || loop.now() < reviveAt) {
            return;
        }
        reviveAfter = Math.min(REVIVE_MOST, reviveAfter * 2);
        reviveAt = loop.now() + reviveAfter;
        try {
            SegmentedLog again = SegmentedLog.reopenAfterFault(disk, config.cluster(), config.name());
            log.close(false);
            log = again;
        } catch (IOException e) {
            Log.warn("store: the disk still fails: %s", e.getMessage());
            return;
        }
        Log.info("store: the disk is good again; this member takes part from what is on it");
        ended = null;
        replica = null;
        reviveAfter = REVIVE;
        settle();
    }

    /** Where newcomers are reached must be known to all. */
    private void announce() {
        Map<String, String> known = replica.ledger().memberAddresses();
        for (MemberId who : peers.connected()) {
            String at = addresses.get(who.name());
            if (at != null && !config.members().containsKey(who.name()) && !at.equals(known.get(who.name()))) {
                replica.propose(new Command.SetMemberAddress(who.name(), at), (completion, outcome) -> {});
                return;
            }
        }
    }

    // ---- the pooler's changes ----
    /** A session's commit here; {@code then} runs, on the group's thread, once a majority holds it. From any thread. */
    @Override
    public void publishCommit(String session, long position, Runnable then) {
        loop.post(() -> {
            long bundle = outbox.add(session, position, loop.now());
            if (then != null && heldCount < HELD_MOST) {
                heldCount++;
                held.computeIfAbsent(bundle, b -> new ArrayList<>()).add(then);
            }
            pump();
        });
    }

    private void pump() {
        long due = outbox.nextBatchMicros();
        if (due == Long.MAX_VALUE || stopped) {
            return;
        }
        if (due > loop.now()) {
            if (!outboxTimer) {
                outboxTimer = true;
                loop.after(due - loop.now(), () -> {
                    outboxTimer = false;
                    pump();
                });
            }
            return;
        }
        if (replica == null || leader == null || ended != null) {
            return;
        }
        Command.SessionCommits bundle = outbox.nextBatch(loop.now());
        propose(bundle, accepted -> {
            long upTo = outbox.onBatchAnswered(accepted, loop.now());
            Map<Long, List<Runnable>> done = held.headMap(upTo, true);
            done.values().forEach(all -> {
                heldCount -= all.size();
                all.forEach(Runnable::run);
            });
            done.clear();
            pump();
        });
    }

    /** The list of db nodes as this pooler has it; the leader's goes to all. From any thread. */
    @Override
    public void publishEndpoints(List<Command.KnownEndpoint> nodes) {
        loop.post(() -> {
            if (leading) {
                replica.propose(new Command.EndpointList(loop.now(), nodes), (completion, outcome) -> {});
            }
        });
    }

    private void propose(Command change, Consumer<Boolean> accepted) {
        if (replica.leads()) {
            replica.propose(
                    change, (completion, outcome) -> accepted.accept(completion == RaftReplica.Completion.DONE));
        } else {
            peers.call(
                    leader,
                    "propose",
                    List.of(CommandCodec.encode(change)),
                    RequestHandler.FORWARDED,
                    answer -> accepted.accept(answer.status() == WireMessages.Status.OK));
        }
    }

    // ---- what questions look at ----
    RaftReplica replica() {
        return replica;
    }

    /** Why this member takes no part any more, or null. */
    String ended() {
        return ended;
    }

    ClusterBootstrap founding() {
        return founding;
    }

    MemberId leader() {
        return leader;
    }

    PeerConnections peers() {
        return peers;
    }

    Listener listener() {
        return listener;
    }

    SubscriptionServer subscriptions() {
        return subscriptions;
    }

    /** Null where it is off. */
    LeaseHolder acting() {
        return acting;
    }

    ActiveConfiguration adoption() {
        return adoption;
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
}
