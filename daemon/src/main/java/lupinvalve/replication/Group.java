package lupinvalve.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import io.microraft.report.RaftNodeReport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import lupinvalve.config.OperatorConfig;
import lupinvalve.core.Loop;
import lupinvalve.ledger.Adoption;
import lupinvalve.ledger.Change;
import lupinvalve.ledger.Encoding;
import lupinvalve.ledger.Founding;
import lupinvalve.ledger.Identity;
import lupinvalve.ledger.Ledger;
import lupinvalve.ledger.Membership;
import lupinvalve.ledger.Outbox;
import lupinvalve.log.Log;
import lupinvalve.net.Addresses;
import lupinvalve.net.Net;

/**
 * One member of the group with all that belongs to it: disk, connections, the founding, what operators ask, and what
 * the pooler beside it is told. It runs on a thread of its own, since a force of the disk takes as long as many requests.
 */
public final class Group {
    /** Answers that wait for a majority at once; those beyond go out when their bound is over. */
    private static final int HELD_MOST = 10_000;
    /** Far past the library's own patience of 0.6 s, and past an election. */
    private static final long LEADER_GONE = 2_000_000;
    private static final long TICK = 100_000, FORWARDED = 3_000_000, MEMBERS_WITHIN = 20_000_000, STEP = 50_000;

    /** The pooler's side. Called on the group's thread. */
    public interface Pooler {
        /** Why this version can't act on a configuration, or null. */
        String objection(byte[] document);

        /** A configuration that a majority has accepted is to be acted on. */
        void adopt(Ledger.Document document);

        /** Operators' holds as they now stand. */
        void holds(Map<Change.Holding, Ledger.Held> holds);

        /** Sessions' commits of any pooler that a majority now holds. */
        void commits(Change.Commits commits);
    }

    private final OperatorConfig.Store config;
    private final Loop loop = new Loop("store");
    private final Schedule schedule = Schedule.of(loop);
    private final Tls tls;
    private final Net net;
    private final Disk disk;
    private SegmentedLog log;
    private final Ledger warm;
    private final Adoption adoption;
    private final Founding founding;
    private final Peers peers;
    private final Outbox outbox = new Outbox();
    private final TreeMap<Long, List<Runnable>> held = new TreeMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final AtomicBoolean ending = new AtomicBoolean();
    private int heldCount;
    private Pooler pooler;
    private Replica replica;
    private String ended;
    private Identity leader;
    private String waitsFor = "";
    private boolean outboxTimer, stopped;
    private long leaderSeenAt;
    private OldStore old;
    private volatile boolean leading;

    /** Opens the folder; throws with one line that says what is wrong with it and where. */
    public Group(OperatorConfig.Store config) throws IOException {
        this.config = config;
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
        disk = new FolderDisk(config.folder(), true);
        try {
            log = SegmentedLog.open(disk, config.cluster(), config.name(), SegmentedLog.diskName());
            warm = Replica.warm(log);
        } catch (IOException | IllegalArgumentException e) {
            disk.close();
            throw new IOException("store " + config.folder() + ": " + e.getMessage(), e);
        }
        old = OldStore.read(config.folder());
        adoption = new Adoption(loop.now());
        founding = new Founding(log.word(), config.members().keySet());
        peers = new Peers(net, loop, config.cluster(), config.name(), config.listen(), log.word(),
                (link, name, member) -> {
                    if (tls != null) {
                        Tls.check(link, name);
                    }
                }, new Hearing());
    }

    /** What was accepted as far as this member knows by itself; before {@link #start}. */
    public Ledger warm() {
        return warm;
    }

    /** Begins to take part; {@code beside} hears first what was accepted before. */
    public void start(Pooler beside) throws IOException {
        pooler = beside;
        peers.listen();
        loop.start();
        loop.post(() -> {
            if (warm.document() != null) {
                adopt(warm.document());
            }
            pooler.holds(warm.holds());
            config.members().forEach(peers::place);
            settle();
            tick();
        });
    }

    public InetSocketAddress address() {
        return peers.address();
    }

    /** Whether this member leads, as far as it knows; from any thread. */
    public boolean leads() {
        return leading;
    }

    /** Keys and certificates as the files have them now; from any thread. Throws where they can't be used. */
    public void reload() throws IOException {
        if (tls != null) {
            tls.reload();
            net.secureAnew();
            Log.info("store: keys and certificates read anew");
        }
    }

    /** Ends at once; what was asked and not answered may have happened. From any thread but the group's. */
    public void stop() {
        if (ending.getAndSet(true)) {
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            stopped = true;
            peers.stop();
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

    private final class Hearing implements Peers.Heard {
        @Override
        public void word(Founding.Word word, String address) {
            addresses.put(word.who().name(), address);
            founding.heard(word);
            settle();
        }

        @Override
        public void lost(Identity who) {
            founding.lost(who.name());
            addresses.remove(who.name());
        }

        @Override
        public void raft(byte[] message) throws IOException {
            if (replica != null) {
                replica.handle(message);
            }
        }

        @Override
        public void call(Messages.Call call, Consumer<Messages.Answer> answer) {
            Group.this.call(call, answer);
        }
    }

    /** Brings the own word to disk, then to the others; joins the group once there is one. */
    private void settle() {
        try {
            while (!founding.own().equals(log.word())) {
                log.keep(founding.own());
                Log.info("store: %s %s", log.word().who(), switch (log.word().phase()) {
                    case BOUND -> "is bound to found the group";
                    case FOUNDED -> "has founded the group";
                    default -> "is no member yet: it waits for `store add " + config.name() + "`";
                });
                peers.say(log.word());
            }
        } catch (IOException e) {
            end("the disk fails");
            return;
        }
        Founding.Phase phase = log.word().phase();
        boolean grouped = phase == Founding.Phase.FOUNDED || phase == Founding.Phase.NEWCOMER;
        if (grouped && replica == null && ended == null && !stopped) {
            replica = new Replica(schedule, log, log.word().founders(), peers, new Random(), new Watching());
            replica.start();
        }
    }

    private final class Watching implements Replica.Watcher {
        @Override
        public void applied(long index, Change change, Ledger.Outcome outcome) {
            if (replica == null) {
                // A node that has been left; the next one comes to it as well.
                return;
            }
            if (change instanceof Change.Put && outcome.result() == Ledger.Result.DONE) {
                adopt(replica.ledger().document());
            } else if (change instanceof Change.Hold || change instanceof Change.Release) {
                pooler.holds(replica.ledger().holds());
            } else if (change instanceof Change.Commits commits) {
                pooler.commits(commits);
            } else if (change instanceof Change.Place place) {
                place(place.member(), place.address());
            }
        }

        @Override
        public void restored() {
            if (replica == null) {
                return;
            }
            Ledger ledger = replica.ledger();
            if (ledger.document() != null) {
                adopt(ledger.document());
            }
            pooler.holds(ledger.holds());
            pooler.commits(Encoding.commits(ledger));
            ledger.places().forEach(Group.this::place);
        }

        @Override
        public void ended(String why) {
            end(why);
        }
    }

    private void place(String member, String address) {
        // The operator's own file goes before: it knows the way from here.
        if (!config.members().containsKey(member)) {
            peers.place(member, address);
        }
    }

    private void adopt(Ledger.Document document) {
        String objection = pooler.objection(document.content());
        switch (adoption.accepted(document, objection)) {
            case ADOPT -> {
                Log.info("store: adopted revision %s, change %s, digest %s", document.revision(), document.index(),
                        document.digest());
                pooler.adopt(document);
            }
            case UNREADABLE -> Log.error("store: %s", adoption.acting());
            default -> {
                // The one that is acted on.
            }
        }
    }

    private void end(String why) {
        if (ended == null) {
            ended = why;
            leading = false;
            if (!stopped) {
                Log.error("store: takes no part any more: %s; %s", why, adoption.acting());
            }
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        Identity now = replica == null ? null : replica.leader();
        if (now != null && !now.equals(leader)) {
            Log.info("store: %s leads, term %s", now, replica.term());
        }
        leader = now;
        wakeUp();
        leading = replica != null && replica.leads();
        String line = adoption.touch(leader != null, loop.now());
        if (line != null) {
            Log.warn("store: %s", line);
        }
        Founding.Phase phase = log.word().phase();
        if (phase == Founding.Phase.ALONE || phase == Founding.Phase.BOUND) {
            if (!founding.wanting().equals(waitsFor)) {
                waitsFor = founding.wanting();
                Log.info("store: the group is not founded yet: %s", waitsFor);
            }
        } else if (leading) {
            announce();
            takeOver();
        }
        pump();
        loop.after(TICK, this::tick);
    }

    /**
     * Guards against a fault of the library (0.7): a follower may go on taking a leader for alive that is gone. Its node
     * then begins anew from its disk, as after a restart.
     */
    private void wakeUp() {
        if (leader == null || replica.leads() || peers.reaches(leader) || ended != null) {
            leaderSeenAt = loop.now();
        } else if (loop.now() - leaderSeenAt > LEADER_GONE) {
            Log.warn("store: %s has been out of reach for long and is still taken for the leader: the node starts anew", leader);
            leaderSeenAt = loop.now();
            Replica old = replica;
            replica = null;
            leader = null;
            old.leave();
            schedule.post(() -> schedule.post(() -> {
                log.close(false);
                try {
                    log = SegmentedLog.open(disk, config.cluster(), config.name(), "");
                    settle();
                } catch (IOException e) {
                    end(e.getMessage());
                }
            }));
        }
    }

    /** What the earlier store left here, where the group has no configuration yet. */
    private void takeOver() {
        OldStore left = old;
        old = null;
        if (left == null) {
            return;
        }
        left.sessions().forEach((session, position) -> outbox.add(session, position, loop.now()));
        if (left.document() == null || pooler.objection(left.document()) != null) {
            left.done();
            return;
        }
        replica.propose(new Change.Put(0, left.document()), (fate, outcome) -> {
            if (fate == Replica.Fate.DONE) {
                left.done();
            } else {
                old = left;
            }
        });
    }

    /** Where newcomers are reached must be known to all. */
    private void announce() {
        Map<String, String> known = replica.ledger().places();
        for (Identity who : peers.connected()) {
            String at = addresses.get(who.name());
            if (at != null && !config.members().containsKey(who.name()) && !at.equals(known.get(who.name()))) {
                replica.propose(new Change.Place(who.name(), at), (fate, outcome) -> { });
                return;
            }
        }
    }

    // ---- the pooler's changes ----

    /** A session's commit here; {@code then} runs, on the group's thread, once a majority holds it. From any thread. */
    public void committed(String session, long position, Runnable then) {
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
        long due = outbox.dueAt();
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
        Change.Commits bundle = outbox.next(loop.now());
        propose(bundle, accepted -> {
            long upTo = outbox.answered(accepted, loop.now());
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
    public void listing(List<Change.Listed> nodes) {
        loop.post(() -> {
            if (leading) {
                replica.propose(new Change.Listing(loop.now(), nodes), (fate, outcome) -> { });
            }
        });
    }

    private void propose(Change change, Consumer<Boolean> accepted) {
        if (replica.leads()) {
            replica.propose(change, (fate, outcome) -> accepted.accept(fate == Replica.Fate.DONE));
        } else {
            peers.call(leader, "propose", List.of(Encoding.write(change)), FORWARDED,
                    answer -> accepted.accept(answer.code() == Messages.Code.OK));
        }
    }

    // ---- what is asked ----

    private static String argument(Messages.Call call, int at) throws IOException {
        if (call.arguments().size() <= at) {
            throw new IOException(call.name() + " lacks an argument");
        }
        return new String(call.arguments().get(at), StandardCharsets.UTF_8);
    }

    private void call(Messages.Call call, Consumer<Messages.Answer> answer) {
        try {
            if (call.name().equals("status")) {
                status(text -> answer.accept(new Messages.Answer(call.id(), Messages.Code.OK, text)));
            } else if (replica == null || ended != null) {
                answer.accept(new Messages.Answer(call.id(), Messages.Code.AGAIN, ended != null
                        ? "this member takes no part any more: " + ended : "the group is not founded yet: "
                                + founding.wanting()));
            } else if (replica.leads()) {
                lead(call, answer);
            } else if (leader == null || call.name().startsWith(">")) {
                answer.accept(new Messages.Answer(call.id(), Messages.Code.AGAIN, "no majority is in touch: no leader"));
            } else {
                peers.call(leader, call.name().equals("propose") ? "propose" : ">" + call.name(), call.arguments(),
                        call.name().equals("add") || call.name().equals("remove") ? MEMBERS_WITHIN + FORWARDED : FORWARDED,
                        got -> answer.accept(new Messages.Answer(call.id(), got.code(), got.text())));
            }
        } catch (IOException | IllegalArgumentException e) {
            answer.accept(new Messages.Answer(call.id(), Messages.Code.REFUSED, String.valueOf(e.getMessage())));
        }
    }

    private void lead(Messages.Call call, Consumer<Messages.Answer> answer) throws IOException {
        String name = call.name().startsWith(">") ? call.name().substring(1) : call.name();
        switch (name) {
            case "propose" -> replica.propose(Encoding.read(call.arguments().get(0)), told(call, answer,
                    outcome -> "{}"));
            case "get" -> replica.upToDate(told(call, answer, ok -> document(call)));
            case "put" -> put(call, answer);
            case "hold" -> replica.propose(new Change.Hold(holding(call), argument(call, 2), loop.now()), taken(call, answer));
            case "release" -> replica.propose(new Change.Release(holding(call)), taken(call, answer));
            case "holds" -> replica.upToDate(told(call, answer, ok -> holds()));
            case "members" -> replica.report(told(call, answer, this::members));
            case "add", "remove" -> change(new Membership.Wish(name.equals("add"), argument(call, 0)),
                    loop.now() + MEMBERS_WITHIN, (code, text) -> answer.accept(new Messages.Answer(call.id(), code, text)));
            case "snapshot" -> replica.snapshot(told(call, answer, report -> Json.object(out -> {
                out.writeNumberField("snapshot_index", report.getLog().getLastSnapshotIndex());
                out.writeNumberField("snapshot_bytes", log.snapshotBytes());
            })));
            default -> answer.accept(new Messages.Answer(call.id(), Messages.Code.REFUSED, "no such call: " + name));
        }
    }

    private static Change.Holding holding(Messages.Call call) throws IOException {
        String kind = argument(call, 0);
        if (!kind.equals("node") && !kind.equals("pooler")) {
            throw new IOException("what is held is a node or a pooler, not a " + kind);
        }
        return new Change.Holding(kind.equals("node") ? Change.Kind.NODE : Change.Kind.POOLER, argument(call, 1));
    }

    private static Messages.Code code(Replica.Fate fate) {
        return switch (fate) {
            case DONE -> Messages.Code.OK;
            case ELSEWHERE -> Messages.Code.AGAIN;
            case REFUSED -> Messages.Code.REFUSED;
            default -> Messages.Code.UNKNOWN;
        };
    }

    private static String words(Replica.Fate fate) {
        return fate == Replica.Fate.ELSEWHERE ? "the leader changes or has too much to do: nothing has happened"
                : fate == Replica.Fate.REFUSED ? "the group can't do that now" : "it may have happened: look before asking again";
    }

    private <T> Replica.Then<T> told(Messages.Call call, Consumer<Messages.Answer> answer, Function<T, String> text) {
        return (fate, result) -> answer.accept(new Messages.Answer(call.id(), code(fate),
                fate == Replica.Fate.DONE ? text.apply(result) : words(fate)));
    }

    private Replica.Then<Ledger.Outcome> taken(Messages.Call call, Consumer<Messages.Answer> answer) {
        return (fate, outcome) -> {
            Messages.Code code = code(fate);
            String text = fate == Replica.Fate.DONE ? "{}" : words(fate);
            if (fate == Replica.Fate.DONE && outcome.result() == Ledger.Result.CONFLICT) {
                code = Messages.Code.CONFLICT;
                text = "revision " + outcome.revision() + " holds by now";
            } else if (fate == Replica.Fate.DONE && outcome.result() == Ledger.Result.TOO_MUCH) {
                code = Messages.Code.REFUSED;
                text = "too long, or too many of them";
            } else if (fate == Replica.Fate.DONE) {
                text = Json.object(out -> {
                    out.writeBooleanField("changed", outcome.result() == Ledger.Result.DONE);
                    out.writeNumberField("revision", outcome.revision());
                });
            }
            answer.accept(new Messages.Answer(call.id(), code, text));
        };
    }

    private void put(Messages.Call call, Consumer<Messages.Answer> answer) throws IOException {
        long expected = Long.parseLong(argument(call, 0));
        byte[] document = call.arguments().get(1);
        // Checked whole before it is proposed: what a majority accepts is a configuration that can be acted on.
        String objection = pooler.objection(document);
        if (objection != null) {
            answer.accept(new Messages.Answer(call.id(), Messages.Code.REFUSED, objection));
            return;
        }
        replica.propose(new Change.Put(expected, document), taken(call, answer));
    }

    private String document(Messages.Call call) {
        Ledger.Document document = replica.ledger().document();
        boolean bare = !call.arguments().isEmpty() && call.arguments().get(0).length > 0;
        return Json.object(out -> {
            out.writeNumberField("revision", replica.ledger().revision());
            if (document != null) {
                out.writeNumberField("change", document.index());
                out.writeStringField("digest", document.digest());
                out.writeFieldName("document");
                out.writeRawValue(bare ? Json.text(document.content()) : Json.masked(document.content()));
            }
        });
    }

    private String holds() {
        return Json.object(out -> {
            out.writeArrayFieldStart("holds");
            for (Map.Entry<Change.Holding, Ledger.Held> hold : replica.ledger().holds().entrySet()) {
                out.writeStartObject();
                out.writeStringField("kind", hold.getKey().kind() == Change.Kind.NODE ? "node" : "pooler");
                out.writeStringField("name", hold.getKey().name());
                out.writeStringField("why", hold.getValue().why());
                out.writeNumberField("at_ms", hold.getValue().atMicros() / 1000);
                out.writeEndObject();
            }
            out.writeEndArray();
        });
    }

    private String members(RaftNodeReport report) {
        return Json.object(out -> members(out, report));
    }

    private void members(JsonGenerator out, RaftNodeReport report) throws IOException {
        Membership.View view = view(report);
        Set<Identity> all = new TreeSet<>(view.voting());
        all.addAll(view.learning());
        all.addAll(view.strangers());
        out.writeArrayFieldStart("members");
        for (Identity one : all) {
            out.writeStartObject();
            out.writeStringField("name", one.name());
            out.writeStringField("disk", one.disk());
            out.writeStringField("part", view.voting().contains(one) ? "votes"
                    : view.learning().contains(one) ? "learns" : "none");
            out.writeBooleanField("leads", one.equals(leader));
            out.writeBooleanField("in_reach", view.inReach().contains(one));
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private Membership.View view(RaftNodeReport report) {
        Set<Identity> connected = peers.connected();
        Set<Identity> strangers = new TreeSet<>(connected);
        Membership.View view = Replica.view(report, strangers, connected);
        strangers.removeAll(view.voting());
        strangers.removeAll(view.learning());
        return view;
    }

    private interface Told {
        void done(Messages.Code code, String text);
    }

    /** One step after another until the group has the member, or not. */
    private void change(Membership.Wish wish, long until, Told then) {
        replica.report((fate, report) -> {
            if (fate != Replica.Fate.DONE) {
                then.done(code(fate), words(fate));
                return;
            } else if (!Replica.leads(report)) {
                then.done(Messages.Code.AGAIN, "the leader changes");
                return;
            }
            Membership.Step next = Membership.next(wish, view(report));
            if (next instanceof Membership.Step.Done) {
                forgetPlace(wish);
                then.done(Messages.Code.OK, members(report));
            } else if (next instanceof Membership.Step.Refused refused) {
                then.done(Messages.Code.REFUSED, refused.why());
            } else if (loop.now() > until) {
                then.done(Messages.Code.AGAIN, next instanceof Membership.Step.Wait wait ? wait.what()
                        : "it takes longer; ask again to go on");
            } else if (next instanceof Membership.Step.Wait) {
                loop.after(STEP, () -> change(wish, until, then));
            } else {
                Log.info("store: %s", next);
                replica.step(next, report, (stepFate, ok) -> {
                    if (next instanceof Membership.Step.HandOver) {
                        then.done(Messages.Code.AGAIN, "another member leads now; ask again to go on");
                    } else {
                        // Whether it was taken shows in what the group looks like next.
                        loop.after(STEP, () -> change(wish, until, then));
                    }
                });
            }
        });
    }

    private void forgetPlace(Membership.Wish wish) {
        if (!wish.in() && replica.ledger().places().containsKey(wish.name())) {
            replica.propose(new Change.Place(wish.name(), ""), (fate, outcome) -> { });
        }
    }

    private void status(Consumer<String> then) {
        if (replica == null || ended != null) {
            then.accept(Json.object(out -> status(out, null)));
        } else {
            replica.report((fate, report) -> then.accept(Json.object(out -> status(out, report))));
        }
    }

    private void status(JsonGenerator out, RaftNodeReport report) throws IOException {
        Ledger ledger = replica == null ? warm : replica.ledger();
        Ledger.Document running = adoption.running();
        out.writeStringField("cluster", config.cluster());
        out.writeStringField("name", config.name());
        out.writeStringField("disk", log.word().who().disk());
        out.writeStringField("phase", log.word().phase().name().toLowerCase(java.util.Locale.ROOT));
        out.writeStringField("leader", leader == null ? "" : leader.name());
        out.writeBooleanField("leads", leading);
        out.writeBooleanField("cut_off", adoption.cutOff());
        out.writeStringField("acting", ended != null ? "takes no part any more: " + ended + "; " + adoption.acting()
                : log.word().phase() == Founding.Phase.ALONE || log.word().phase() == Founding.Phase.BOUND
                ? "the group is not founded yet: " + founding.wanting() : adoption.acting());
        out.writeNumberField("revision", running == null ? 0 : running.revision());
        out.writeStringField("digest", running == null ? "" : running.digest());
        out.writeNumberField("adopted_change", running == null ? 0 : running.index());
        out.writeNumberField("applied_change", ledger.applied());
        out.writeNumberField("sessions", ledger.sessionCount());
        out.writeNumberField("holds", ledger.holds().size());
        out.writeNumberField("listed_nodes", ledger.listing().nodes().size());
        out.writeNumberField("history_bytes", log.historyBytes());
        out.writeNumberField("snapshot_bytes", log.snapshotBytes());
        if (report != null) {
            out.writeNumberField("term", report.getTerm().getTerm());
            out.writeNumberField("committed_change", report.getLog().getCommitIndex());
            out.writeNumberField("last_change", report.getLog().getLastLogOrSnapshotIndex());
            members(out, report);
        }
    }
}
