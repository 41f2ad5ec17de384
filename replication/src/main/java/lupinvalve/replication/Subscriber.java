package lupinvalve.replication;

import java.io.IOException;
import java.net.InetAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.EventLoop;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;
import lupinvalve.statemachine.Command;
import lupinvalve.statemachine.ReplicatedState;
import lupinvalve.subscription.FollowAnswer;
import lupinvalve.subscription.FollowRequest;
import lupinvalve.subscription.FollowSchedule;
import lupinvalve.subscription.FollowState;

/**
 * Follows the group's configuration and holds from one member at a time, without being a member. Hundreds of them may
 * share one loop and one {@link Net} in a process; the daemon's has its own.
 */
public final class Subscriber implements ControlPlane {
    private static final long TICK = 1_000_000;
    /** Between an answer and the next call; a member ends what is silent for 2.5 s. */
    private static final long IDLE_MOST = 1_000_000;
    /** Before the whole is asked for where differences came to something else. */
    private static final int WRONG_MILLIS = 200;

    private final OperatorConfig.Store config;
    private final EventLoop loop;
    private final Net net;
    private final Tls tls;
    private final Disk disk;
    private final DocumentKeeper keeper;
    private final boolean own;
    /** What its lines in the log begin with: its name too where there are many. */
    private final String of;

    private final FollowState.Kept kept;
    private final FollowState state;
    private final FollowSchedule schedule;
    private final AtomicBoolean ending = new AtomicBoolean();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong bytesIn = new AtomicLong();
    private ControlPlane.Listener pooler;
    private FollowLink link;
    /** To the first member, tried beside the one that is followed. */
    private FollowLink candidate;

    private boolean stopped, fenced;
    private long idleSince;
    private TimerQueue.Timer leaseEnd;
    private String said = "";
    private volatile ReplicatedState.Document acting;
    private volatile long calls, wholes, differences, moves, acted;

    /**
     * The daemon's: with a thread and connections of its own. Throws with one line that says what is wrong with the
     * folder.
     */
    public Subscriber(OperatorConfig.Store config) throws IOException {
        this(
                config,
                new EventLoop("store"),
                null,
                new FolderDisk(config.folder(), true),
                DocumentKeeper.thread(),
                System.nanoTime(),
                true);
    }

    /**
     * One of many in a process.
     *
     * @param loop runs it; not started or stopped here
     * @param net carries its connections, on the same loop; not closed here
     * @param disk keeps the last accepted document, written on the loop; closed by {@link #stop}
     * @param seed of its pauses
     */
    public Subscriber(OperatorConfig.Store config, EventLoop loop, Net net, Disk disk, long seed) throws IOException {
        this(config, loop, net, disk, Runnable::run, seed, false);
    }

    private Subscriber(
            OperatorConfig.Store config, EventLoop loop, Net net, Disk disk, Executor writes, long seed, boolean own)
            throws IOException {
        this.config = config;
        this.loop = loop;
        this.disk = disk;
        this.own = own;
        of = own ? "store" : "store: " + config.name();
        try {
            tls = config.tls() == null ? null : new Tls(config.tls());
            unsecured(config);
        } catch (IOException e) {
            disk.close();
            throw e;
        }
        this.net = own ? new Net(loop, false, tls) : net;
        keeper = new DocumentKeeper(disk, config.cluster(), writes);
        kept = kept();
        state = new FollowState(config.audit() != OperatorConfig.Audit.OFF, kept, LeaseHolder.monotonicMicros());
        schedule = new FollowSchedule(config.name(), config.members().keySet(), seed);
    }

    private static void unsecured(OperatorConfig.Store config) throws IOException {
        for (String address :
                config.tls() != null ? List.<String>of() : config.members().values()) {
            InetAddress host = Addresses.parse(address).getAddress();
            if (host == null || !host.isLoopbackAddress()) {
                throw new IOException("store.tls is missing: " + address + " is not on loopback");
            }
        }
    }

    /** A file that is not what was written is not believed: members tell all anew. */
    private FollowState.Kept kept() {
        try {
            return KeptDocument.read(disk, config.cluster());
        } catch (IOException e) {
            Log.warn("store: %s: %s; what holds is asked for anew", config.folder(), e.getMessage());
            return FollowState.Kept.NOTHING;
        }
    }

    @Override
    public InitialState initialState() {
        return new InitialState(kept.document(), List.of(), new Command.SessionCommits(0, java.util.Map.of()));
    }

    @Override
    public void start(ControlPlane.Listener beside) {
        pooler = beside;
        if (own) {
            loop.start();
        }
        loop.post(() -> {
            ReplicatedState.Document document = state.begin(pooler::validationError);
            if (document != null) {
                adopt(document);
            }
            pooler.drainsChanged(state.holds());
            look();
            connect(0);
            tick();
        });
    }

    // ---- connections ----
    private final FollowLink.Heard hearing = new FollowLink.Heard() {
        @Override
        public void greeted(FollowLink which) {
            if (which == candidate) {
                schedule.home(true, LeaseHolder.monotonicMicros());
                link.drop();
                link = candidate;
                candidate = null;
                moves++;
            }
            say("follows " + which.member());
            ask();
        }

        @Override
        public void over(FollowLink which, String why) {
            if (which == candidate) {
                candidate = null;
                schedule.home(false, LeaseHolder.monotonicMicros());
            } else {
                move(which.member() + ": " + why);
            }
        }

        @Override
        public void moved(long out, long in) {
            bytesOut.addAndGet(out);
            bytesIn.addAndGet(in);
        }
    };

    private FollowLink to(String member) {
        FollowLink next = new FollowLink(
                loop,
                new FollowLink.Way(
                        config.cluster(),
                        config.name(),
                        member,
                        config.members().get(member),
                        tls != null),
                hearing);
        next.dial(net, schedule.greetingWithin());
        return next;
    }

    private void connect(long afterMicros) {
        loop.after(afterMicros, () -> {
            if (!stopped) {
                link = to(schedule.member());
            }
        });
    }

    /** Leaves the member for the next. */
    private void move(String why) {
        if (stopped) {
            return;
        }
        say("can't follow " + why);
        link.drop();
        moves++;
        connect(schedule.failed(LeaseHolder.monotonicMicros()));
    }

    /** Once for each that differs from the last. */
    private void say(String line) {
        if (!line.equals(said)) {
            said = line;
            Log.info("%s: %s", of, line);
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        boolean greeted = link != null && link.greeted();
        String line = state.adoption().onQuorumContact(greeted && link.asks(), LeaseHolder.monotonicMicros());
        if (line != null) {
            Log.warn("%s: %s", of, line);
        }
        if (greeted && !link.asks() && LeaseHolder.monotonicMicros() - idleSince > IDLE_MOST) {
            // The pooler takes long to act on what it was told: the member hears that this one is there, and what it
            // acts on.
            ask();
        }
        if (greeted && candidate == null && schedule.homeDue(LeaseHolder.monotonicMicros())) {
            candidate = to(schedule.first());
        }
        loop.after(TICK, this::tick);
    }

    // ---- following ----
    private void ask() {
        if (stopped || !link.greeted() || link.asks()) {
            return;
        }
        calls++;
        long asked = LeaseHolder.monotonicMicros();
        FollowLink by = link;
        FollowRequest request = state.request();
        // One without a lease has nothing to lose by waiting, and a whole document may be on its way.
        boolean patient = !state.holds(asked) || request.whole() || request.revision() == 0;
        by.ask(request.write(), schedule.answerWithin(patient), answer -> answered(by, answer, asked));
    }

    private void answered(FollowLink by, WireMessages.Response answer, long asked) {
        if (by != link) {
            return;
        }
        if (answer.status() != WireMessages.Status.OK) {
            move(by.member() + ": " + answer.text());
            return;
        }
        try {
            heard(FollowAnswer.read(answer.content()), asked);
        } catch (IOException | IllegalArgumentException e) {
            move(by.member() + ": " + e.getMessage());
        }
    }

    private void heard(FollowAnswer answer, long asked) {
        idleSince = LeaseHolder.monotonicMicros();
        wholes += answer.news() instanceof FollowAnswer.News.Whole ? 1 : 0;
        differences += answer.news() instanceof FollowAnswer.News.Differences all
                ? all.steps().size()
                : 0;
        FollowState.Heard news = state.heard(answer, asked, LeaseHolder.monotonicMicros(), pooler::validationError);
        look();
        if (!news.wrong().isEmpty()) {
            Log.warn("%s: %s; the whole is asked for", of, news.wrong());
        }
        if (news.adopt() != null) {
            adopt(news.adopt());
        } else if (!state.adoption().unreadableReason().isEmpty()) {
            say("serves on, " + state.adoption().describe());
        }
        if (news.holds() != null) {
            pooler.drainsChanged(news.holds());
        }
        if (news.adopt() != null || news.holds() != null) {
            keeper.keep(state.kept());
        }
        if (!state.shutOut().isEmpty()) {
            say("has no lease: " + state.shutOut());
        }
        int pause = news.wrong().isEmpty() ? answer.comeBackMillis() : WRONG_MILLIS;
        long upTo = state.heardUpTo();
        pooler.runAfterApplied(() -> loop.post(() -> {
            state.acted(upTo);
            acted = state.acting();
            loop.after(pause * 1_000L, this::ask);
        }));
        judge(answer);
    }

    /** Whether the member that answered will do. */
    private void judge(FollowAnswer answer) {
        boolean wanted = config.audit() != OperatorConfig.Audit.OFF
                && state.adoption().unreadableReason().isEmpty();
        if (answer.leaseMicros() > 0 && answer.leaseMicros() < FollowSchedule.MOVE_BELOW) {
            move(link.member() + ": it is losing its own lease");
        } else if (wanted && answer.leaseMicros() == 0 && schedule.denied(LeaseHolder.monotonicMicros())) {
            move(link.member() + ": it grants no lease: " + answer.why());
        } else {
            schedule.answered();
            if (!wanted || answer.leaseMicros() > 0) {
                schedule.granted();
            }
        }
    }

    /** Says when the right to act ends, and when it is there again. */
    private void look() {
        if (!fencingEnabled()) {
            return;
        }
        long left = state.until() - LeaseHolder.monotonicMicros();
        if (fenced == left > 0) {
            fenced = left <= 0;
            Log.info(
                    "%s: %s",
                    of, fenced ? "fenced" + (state.shutOut().isEmpty() ? "" : ": " + state.shutOut()) : "returned");
        }
        loop.cancel(leaseEnd);
        leaseEnd = left > 0 ? loop.after(left, this::look) : null;
    }

    private void adopt(ReplicatedState.Document document) {
        Log.info(
                "%s: adopted revision %s, change %s, digest %s",
                of, document.revision(), document.index(), document.digest());
        pooler.configurationAccepted(document);
        pooler.runAfterApplied(() -> acting = document);
    }

    // ---- from any thread ----
    @Override
    public boolean mayServe() {
        return !fencingEnabled() || state.holds(LeaseHolder.monotonicMicros());
    }

    @Override
    public boolean fencingEnabled() {
        return config.audit() == OperatorConfig.Audit.FENCE;
    }

    /** How long it may act yet, by the last lease; 0 without one. */
    public long leaseMicros() {
        return Math.max(0, state.until() - LeaseHolder.monotonicMicros());
    }

    /** When its right to act ends or has ended, by {@link System#nanoTime} in microseconds. */
    public long leaseEndMicros() {
        return state.until();
    }

    /** Which revision the pooler beside acts on, 0 for none. */
    public long actingRevision() {
        ReplicatedState.Document now = acting;
        return now == null ? 0 : now.revision();
    }

    /** The digest of what it acts on, empty for none. */
    public String actingDigest() {
        ReplicatedState.Document now = acting;
        return now == null ? "" : now.digest();
    }

    /** Up to which change of the agreed history it acts, as it last said. */
    public long actingChange() {
        return acted;
    }

    /**
     * Sums since the start.
     *
     * @param calls that were asked
     * @param wholes whole documents that came
     * @param differences that came, one a revision
     * @param moves from one member to another
     */
    public record Traffic(long bytesOut, long bytesIn, long calls, long wholes, long differences, long moves) {}

    /** What has gone over its connections, without what TLS adds. */
    public Traffic traffic() {
        return new Traffic(bytesOut.get(), bytesIn.get(), calls, wholes, differences, moves);
    }

    @Override
    public boolean isLeader() {
        return false;
    }

    /** Members hear nothing of sessions here: sessions that stay at one pooler need nothing else. */
    @Override
    public void publishCommit(String session, long position, Runnable then) {
        if (then != null) {
            then.run();
        }
    }

    @Override
    public void publishEndpoints(List<Command.KnownEndpoint> nodes) {
        // Members tell of the list.
    }

    @Override
    public void reloadCertificates() throws IOException {
        if (tls != null) {
            tls.reload();
            if (own) {
                net.secureAnew();
            }
            Log.info("store: keys and certificates read anew");
        }
    }

    @Override
    public void stop() {
        if (ending.getAndSet(true)) {
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            stopped = true;
            if (link != null) {
                link.drop();
            }
            if (candidate != null) {
                candidate.drop();
            }
            keeper.close();
            done.countDown();
        });
        try {
            if (!done.await(3, TimeUnit.SECONDS) || !keeper.closedWithin(3_000)) {
                Log.warn("store: the end took too long");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (own) {
            net.close();
            loop.stop();
        }
    }
}
