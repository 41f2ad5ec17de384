package lupinvalve.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import lupinvalve.log.Log;
import lupinvalve.maintenance.Drain;
import lupinvalve.maintenance.Figures;
import lupinvalve.maintenance.Maintenance;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.Router;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/**
 * The core: knows no wire. Owns the router, the requests and the attempts, turns what happens on sockets into the
 * router's events and its actions into calls, and sees to it that each request gets exactly one final answer.
 */
public class Pooler {
    /** Requests and attempts held at most; the bound on client connections keeps far below it. */
    private static final int MOST = 8192;
    /** After a request's time, how long the router may take to end it before the core does. */
    private static final long OVERTIME = 10_000;
    /** A long answer of which nothing comes for so long is cut. */
    private static final long STALLED = 15_000_000;
    /** How often the figures of db nodes are counted anew; they may lag by 0.5 s. */
    private static final long COUNT_PACE = 100_000;
    /** How long what happens to requests is counted before the log tells of it. */
    private static final long SUMMARY_PERIOD = 5_000_000;

    /**
     * What a front asks.
     *
     * @param id the client's name for it, which no other open request has
     * @param afterMicros position that a read must see, carried by the client; 0 for none
     * @param arrivedMicros when its last byte came
     * @param expiresMicros when the client stops waiting
     * @param protocol name of the backend that can carry the statement
     */
    public record Ask(
            String id,
            int classIndex,
            boolean repeated,
            String session,
            long afterMicros,
            int group,
            long arrivedMicros,
            long expiresMicros,
            String protocol,
            Object statement) {
        /** How long the client said that it would wait. */
        long waitMicros() {
            return expiresMicros - arrivedMicros;
        }
    }

    /** A db node as it is known here; its role is the one that it has shown. */
    public record Known(Directory.Entry entry, long position) {}

    /**
     * One process of a db node. A restart, another address, or a return to the list make another one of the same id;
     * connections belong to the one that they were opened to.
     */
    public static final class Instance {
        private final Map<String, String> addresses;
        private final long bornMicros;

        private Instance(Directory.Entry entry) {
            addresses = entry.addresses();
            bornMicros = entry.member().startedAtMicros();
        }

        private boolean is(Directory.Entry entry) {
            return addresses.equals(entry.addresses())
                    && bornMicros >= entry.member().startedAtMicros();
        }

        /** Whether a connection to this one leads to the other: a restart binds those that were opened before it. */
        private boolean leadsTo(Instance other, long openedAt) {
            return this == other || other != null && addresses.equals(other.addresses) && openedAt >= other.bornMicros;
        }
    }

    private static final class Held {
        final Front front;
        final long ticket;
        final Ask ask;
        final long expires;
        String id;
        long handle, token;
        int attempts;
        long firstSent;
        Attempt out;
        boolean answered, served;
        Deadlines.Deadline overtime;
        /** The attempt whose answer is being passed on, and the pieces so far. */
        Attempt passing;

        long pieces;

        Held(Front front, long ticket, Ask ask, long expires) {
            this.front = front;
            this.ticket = ticket;
            this.ask = ask;
            this.expires = expires;
        }
    }

    private static final class Attempt {
        final Held of;
        final int number;
        final String node;
        final long sentAt;
        long handle;
        Deadlines.Deadline timeout;

        Attempt(Held of, int number, String node, long sentAt) {
            this.of = of;
            this.number = number;
            this.node = node;
            this.sentAt = sentAt;
        }
    }

    private final Loop loop;
    private final RouterSettings settings;
    private final Map<String, Backend> backends = new java.util.LinkedHashMap<>();
    /** The list as discovery tells it, and the processes of those of its db nodes that may be used. */
    private final Map<String, Directory.Entry> listing = new HashMap<>();

    private final Map<String, Instance> instances = new HashMap<>();
    /** Since when db nodes that are still listed have been told as leaving. */
    private final Map<String, Long> leaving = new HashMap<>();

    private final Maintenance maintenance;
    private final Map<String, Maintenance.Orders> ordersBy = new HashMap<>();
    private final Drain drain = new Drain();
    private final Figures figures;
    private final FirstWord firstWord = new FirstWord();
    /** Whether this pooler may act on what it knows; null where that right can't end. */
    private BooleanSupplier fence;

    private final Map<String, Held> byId = new HashMap<>();
    private final Set<String> named = new HashSet<>();
    private final Slots<Held> requests = new Slots<>(MOST);
    private final Slots<Attempt> attempts = new Slots<>(MOST);
    private final ArrayDeque<RouterEvent> events = new ArrayDeque<>();
    private Directory directory;
    private Marks marks = Marks.NONE;
    private Router router;
    private final RequestSummary summary = new RequestSummary();
    private boolean summaryDue;
    private boolean handling;
    private long lastAnswer = Long.MAX_VALUE;

    public Pooler(Loop loop, RouterSettings settings) {
        this.loop = loop;
        this.settings = settings;
        maintenance = new Maintenance(settings.rules().warmUpMicros());
        figures =
                new Figures(settings.classes().stream().map(RequestClass::name).toList());
    }

    public Drain drain() {
        return drain;
    }

    public Figures figures() {
        return figures;
    }

    /** Discovery's first word to this process, or its refusal; from any thread. */
    public FirstWord firstWord() {
        return firstWord;
    }

    public Loop loop() {
        return loop;
    }

    public RouterSettings settings() {
        return settings;
    }

    /** Adds a protocol to db nodes; before {@link #start}. */
    public void backend(String protocol, Backend backend) {
        backends.put(protocol, backend);
    }

    public void directory(Directory source) {
        directory = source;
    }

    /**
     * From now on nothing is decided while this says no: what comes is refused at once, and what was decided and has
     * not gone out does not go. From any thread.
     */
    public void fence(BooleanSupplier open) {
        fence = open;
    }

    private boolean fenced() {
        return fence != null && !fence.getAsBoolean();
    }

    public void marks(Marks memory) {
        marks = memory;
    }

    /** Starts the router; the list it had last comes first, as restored. */
    public void start(long seed, List<Directory.Entry> known) {
        List<RouterAction> first = new ArrayList<>();
        router = new Router(seed, settings, loop.now(), first::add);
        listed(new Directory.News(ListForm.RESTORED, known));
        first.forEach(this::perform);
    }

    /**
     * Publishes, from now on, the figures that follow from time as well as from events. Only for poolers that operators
     * can ask: those of a fleet each pay for what nobody reads. Once started; core thread only.
     */
    public void count() {
        int avoided = 0;
        for (Directory.Entry entry : listing.values()) {
            String node = entry.member().node();
            avoided += maintenance.isOut(node) || router.avoids(node) ? 1 : 0;
        }
        figures.servers(listing.size(), avoided);
        loop.after(COUNT_PACE, this::count);
    }

    // ---- what happens ----

    /**
     * Whether a request of this name is open. Guards it against strangers: another with its name is not sent on, since
     * db nodes would take the two for one.
     */
    public boolean named(String id) {
        return named.contains(id);
    }

    /** Takes a request; its ticket returns with the one final answer. Gives a handle for {@link #gone}. */
    public long request(Front front, long ticket, Ask ask) {
        if (requests.full() || fenced()) {
            figures.ended(ask.classIndex(), Figures.End.REFUSED);
            front.refused(ticket, settings.limits().maxRetryAfterMicros());
            return -1;
        }
        Held held = new Held(front, ticket, ask, Math.min(ask.expiresMicros(), lastAnswer));
        held.handle = requests.put(held);
        held.id = Long.toHexString(held.handle);
        byId.put(held.id, held);
        named.add(ask.id());
        figures.inFlight(requests.size());
        long now = loop.now();
        long left = held.expires - now;
        long after = ask.afterMicros();
        long marked = ask.session() == null ? 0 : marks.lastCommit(ask.session());
        if (marked > after && access(held) == RequestClass.Access.SESSION) {
            held.token = marked;
            after = marked;
        }
        // A commit is rounded up, so it may lie in the future: no age would mean no token.
        long age = after > 0 ? Math.max(1, now - after) : 0;
        held.overtime = loop.after(left + OVERTIME, () -> overtime(held));
        feed(
                now,
                new RouterEvent.RequestArrived(
                        held.id,
                        ask.classIndex(),
                        ask.repeated(),
                        ask.session(),
                        age,
                        ask.group(),
                        left,
                        ask.waitMicros()));
        return held.handle;
    }

    /** The client of a request has gone. */
    public void gone(long handle) {
        Held held = requests.get(handle);
        if (held != null && held.passing != null) {
            attempts.free(held.passing.handle);
            backends.get(held.ask.protocol()).abandon(held.passing.handle);
            close(held, "left", null);
        } else if (held != null && !held.answered) {
            leave(held);
        }
    }

    /** Nobody waits for the request any more: what is out is called off where that is allowed, the rest taken back. */
    private void leave(Held held) {
        close(held, "left", null);
        feed(new RouterEvent.ClientDisconnected(held.id));
        withdraw(held);
    }

    /** Takes back an attempt that waits for its connection, of a request that is over. */
    private void withdraw(Held held) {
        if (held.out != null && backends.get(held.ask.protocol()).waits(held.out.handle)) {
            abandon(held.out, AttemptOutcome.CANCELLED);
        }
    }

    /** What is to be done with a long answer that has begun to come. */
    public enum Pass {
        ON,
        KEEP,
        DROP
    }

    /**
     * A long answer has begun to come. Where it is passed on, the router hears that the request was served: an answer
     * counts from its first bytes, and how long its client takes for the rest tells nothing of the db node.
     */
    public Pass begins(long handle, Object first, Backend.Source source) {
        Attempt a = attempts.get(handle);
        if (a == null || a.of.answered || a.of.passing != null) {
            return Pass.DROP;
        }
        Held held = a.of;
        // What an answer tells at its end must be known first where it decides: whether the read is fresh enough, or
        // which token the session gets where this pooler keeps it.
        boolean keepsToken =
                marks != Marks.NONE || settings.replication().tokens() == RouterSettings.TokenSource.REMEMBERED;
        if (held.token > 0 || keepsToken && access(held) == RequestClass.Access.WRITE) {
            return Pass.KEEP;
        }
        held.passing = a;
        loop.drop(a.timeout);
        loop.drop(held.overtime);
        watch(held, 0);
        held.front.begins(held.ticket, first, source);
        if (!held.answered) {
            feed(new RouterEvent.AttemptEnded(
                    held.id,
                    a.number,
                    a.node,
                    AttemptOutcome.SERVED,
                    loop.now() - a.sentAt,
                    true,
                    LogPosition.UNKNOWN,
                    ServerRole.UNKNOWN));
        }
        return Pass.ON;
    }

    /** A further piece of an answer that is passed on. */
    public void more(long handle, byte[] piece) {
        Attempt a = attempts.get(handle);
        if (a != null && a.of.passing == a) {
            a.of.pieces++;
            a.of.front.more(a.of.ticket, piece);
        }
    }

    /** Guards against long answers that stand still, whoever of the two peers it is that stalls. */
    private void watch(Held held, long pieces) {
        held.overtime = loop.after(STALLED, () -> {
            if (held.pieces > pieces) {
                watch(held, held.pieces);
            } else {
                Log.warn("request %s: a long answer stands still, cut", held.id);
                abandon(held.passing, AttemptOutcome.TIMED_OUT);
            }
        });
    }

    private void passed(Held held, AttemptOutcome ending, Object rest, long position, ServerRole role) {
        boolean whole = ending == AttemptOutcome.SERVED;
        close(held, whole ? "served" : "cut", whole ? Figures.End.SERVED : Figures.End.FAILED);
        if (whole) {
            held.front.served(held.ticket, rest, position, role);
        } else {
            held.front.cut(held.ticket);
        }
    }

    /** An attempt has ended. The first served one is the request's final answer. */
    public void ended(long handle, AttemptOutcome told, Object answer, long position, ServerRole role) {
        Attempt a = attempts.free(handle);
        if (a == null) {
            return;
        }
        loop.drop(a.timeout);
        Held held = a.of;
        held.out = held.out == a ? null : held.out;
        if (held.passing == a) {
            passed(held, told, answer, position, role);
            return;
        }
        long now = loop.now();
        // A token that the statement does not carry can't be checked by the db node: its answer's position is.
        boolean behind = told == AttemptOutcome.SERVED && role != ServerRole.PRIMARY && position < held.token;
        AttemptOutcome ending = behind ? AttemptOutcome.MISSED : told;
        if (Log.debugs()) {
            Log.debug("%s#%d %s %s after %d us", held.id, a.number, a.node, ending, now - a.sentAt);
        }
        note(summary.attempt(ending, a.node));
        if (ending == AttemptOutcome.SERVED) {
            Runnable serve = () -> {
                if (!held.answered) {
                    close(held, "served", Figures.End.SERVED);
                    held.front.served(held.ticket, answer, position, role);
                }
            };
            if (access(held) == RequestClass.Access.WRITE
                    && held.ask.session() != null
                    && position != LogPosition.UNKNOWN) {
                // Its answer may wait until others know the token; the wait has a bound of its own.
                held.served = true;
                loop.drop(held.overtime);
                marks.committed(held.ask.session(), position, serve);
            } else {
                serve.run();
            }
        }
        feed(
                now,
                new RouterEvent.AttemptEnded(
                        held.id,
                        a.number,
                        a.node,
                        ending,
                        now - a.sentAt,
                        held.answered || held.served,
                        position,
                        role));
    }

    /** A probe has ended. */
    public void probed(String node, AttemptOutcome ending, long elapsedMicros, long position, ServerRole role) {
        feed(new RouterEvent.HealthCheckEnded(node, ending, elapsedMicros, position, role));
    }

    /** News of the list. */
    public void listed(Directory.News news) {
        Set<String> unlisted = Set.of();
        boolean first = listing.isEmpty();
        if (news.form() == ListForm.UNAVAILABLE) {
            Log.info("list: unavailable, the one held stays");
        } else if (news.form() != ListForm.UPDATE) {
            // Each deploy brings new ids: those that have left must not pile up.
            Set<String> missing = new HashSet<>(listing.keySet());
            news.entries().forEach(entry -> missing.remove(entry.member().node()));
            for (String node : missing) {
                maintenance.left(node, loop.now());
                listing.remove(node);
                instances.remove(node);
            }
            unlisted = missing;
        }
        tellLog(news, first, unlisted);
        for (Directory.Entry entry : news.entries()) {
            if (entry.member().state() == EndpointState.DEPARTED) {
                if (listing.remove(entry.member().node()) != null) {
                    maintenance.left(entry.member().node(), loop.now());
                }
            } else {
                listing.put(entry.member().node(), entry);
            }
        }
        tell(news);
        unlisted.forEach(this::closeIdle);
        if (news.form() == ListForm.FULL || news.form() == ListForm.UPDATE) {
            firstWord.told();
        }
    }

    /** Before the news is taken over. */
    private void tellLog(Directory.News news, boolean first, Set<String> unlisted) {
        if (news.form() == ListForm.UNAVAILABLE) {
            return;
        }
        String changes = first ? "the first" : ListChanges.text(listing, news.entries(), unlisted);
        Log.info("list: %s of %d db nodes: %s", news.form(), news.entries().size(), changes);
    }

    /** Tells the router of entries as maintenance has them, and drops what leads to those that are gone. */
    private void tell(Directory.News news) {
        long now = loop.now();
        // What may have been told long ago has no time left; the same holds in the router's table.
        long told = Math.min(now, Math.max(now - settings.rules().drainGraceMicros(), news.notifiedSinceMicros()));
        List<Endpoint> members = new ArrayList<>();
        List<String> replaced = new ArrayList<>();
        for (Directory.Entry entry : news.entries()) {
            Endpoint m = maintenance.told(entry.member());
            members.add(m);
            Instance known = instances.get(m.node());
            if (m.state() == EndpointState.DEPARTED) {
                instances.remove(m.node());
                replaced.add(m.node());
            } else if (known == null || !known.is(entry)) {
                instances.put(m.node(), new Instance(entry));
                replaced.add(m.node());
            }
            if (m.state() == EndpointState.DRAINING) {
                leaving.putIfAbsent(m.node(), told);
            } else {
                leaving.remove(m.node());
            }
        }
        leaving.keySet().retainAll(instances.keySet());
        feed(now, new RouterEvent.EndpointUpdate(news.form(), members, told));
        replaced.forEach(this::closeIdle);
    }

    private void closeIdle(String node) {
        backends.values().forEach(b -> b.closeIdle(node));
    }

    /** Why an operator's call to take a db node out or back can't be taken, or null. */
    public String objection(boolean takeOut, String node) {
        return maintenance.objection(takeOut, node, listing.containsKey(node), loop.now());
    }

    /**
     * Takes over the operators' orders; nothing new goes to what is out by the time that this returns.
     *
     * @param by which way they came: what is out by one of them is out
     */
    public void maintain(String by, Maintenance.Orders orders) {
        ordersBy.put(by, orders);
        Maintenance.Orders all = ordersBy.values().stream().reduce(Maintenance.Orders.NONE, Maintenance.Orders::and);
        List<Directory.Entry> changed = new ArrayList<>();
        for (String node : maintenance.take(all, loop.now())) {
            Log.info("db node %s: %s by hand", node, maintenance.isOut(node) ? "taken out" : "called back");
            if (listing.containsKey(node)) {
                changed.add(listing.get(node));
            }
        }
        if (router != null && !changed.isEmpty()) {
            tell(new Directory.News(ListForm.UPDATE, changed));
        }
    }

    /** The program ends: requests that come from now on are answered by then. */
    public void lastAnswer(long atMicros) {
        lastAnswer = atMicros;
    }

    /**
     * Whether what has waited for a connection to this process of a db node may no longer go out on it. When it was
     * decided on, the process may not have been told to leave, its client was there, and the repeat or the age of data
     * that it allows may have been in time; what counts is when the first byte goes out.
     *
     * @param attempt or -1 for a probe
     */
    public boolean bars(String node, Instance opened, long openedAt, long attempt) {
        Long since = leaving.get(node);
        boolean closed = fenced()
                || !leads(node, opened, openedAt)
                || since != null && loop.now() >= since + settings.rules().drainGraceMicros() * 3 / 4;
        Attempt a = attempts.get(attempt);
        return closed || a != null && (a.of.front.left(a.of.ticket) || !router.stands(a.of.id, loop.now()));
    }

    /**
     * Until when the first byte of what is decided now may go out to a db node: a departure that has been told
     * meanwhile binds by then, or one that is known.
     */
    public long beginBy(String node) {
        long known = Math.min(directory.knownUpTo(), leaving.getOrDefault(node, Long.MAX_VALUE));
        return known == Long.MAX_VALUE ? known : known + settings.rules().drainGraceMicros();
    }

    /** Whether a connection that was opened to a process of the db node leads to the one that the list names now. */
    public boolean leads(String node, Instance opened, long openedAt) {
        return opened != null && opened.leadsTo(instances.get(node), openedAt);
    }

    /** The process that the list names under the id, or null. */
    public Instance instance(String node) {
        return instances.get(node);
    }

    /** The list as it stands, with the roles and positions that db nodes have shown; after {@link #start}. */
    public List<Known> known() {
        List<Known> all = new ArrayList<>();
        for (Directory.Entry entry : listing.values()) {
            Endpoint m = entry.member();
            all.add(new Known(
                    new Directory.Entry(
                            new Endpoint(
                                    m.node(),
                                    m.group(),
                                    m.zone(),
                                    m.state(),
                                    router.isPrimary(m.node()),
                                    m.startedAtMicros()),
                            entry.addresses()),
                    router.position(m.node())));
        }
        all.sort(java.util.Comparator.comparing(known -> known.entry().member().node()));
        return all;
    }

    /** Whether the list names the db node, and not as gone. */
    public boolean lists(String node) {
        return instances.containsKey(node);
    }

    /** Whether the list names any db node. */
    public boolean knowsNodes() {
        return !listing.isEmpty();
    }

    public int open() {
        return requests.size();
    }

    private RequestClass.Access access(Held held) {
        return settings.classes().get(held.ask.classIndex()).access();
    }

    /** Guards the rule that each request is answered in time, should the router fail to end one. */
    private void overtime(Held held) {
        if (!held.answered) {
            Log.warn("request %s overdue: failed by the core", held.id);
            close(held, "overdue", Figures.End.FAILED);
            held.front.failed(held.ticket);
            feed(new RouterEvent.ClientDisconnected(held.id));
            withdraw(held);
        }
    }

    /** @param end what its client is told; null where the client has left */
    private void close(Held held, String how, Figures.End end) {
        if (Log.debugs()) {
            Log.debug(
                    "%s %s %s after %d us, group %d, %d attempts, first out after %d us, given %d us",
                    held.id,
                    settings.classes().get(held.ask.classIndex()).name(),
                    how,
                    loop.now() - held.ask.arrivedMicros(),
                    held.ask.group(),
                    held.attempts,
                    held.attempts == 0 ? -1 : held.firstSent - held.ask.arrivedMicros(),
                    held.ask.waitMicros());
        }
        note(summary.request(how, end == Figures.End.SERVED));
        held.answered = true;
        loop.drop(held.overtime);
        requests.free(held.handle);
        byId.remove(held.id);
        named.remove(held.ask.id());
        figures.inFlight(requests.size());
        if (end != null) {
            figures.ended(held.ask.classIndex(), end);
        }
    }

    /** Has the log told of what was counted, a while after the first thing that is worth it. */
    private void note(boolean worthALine) {
        if (worthALine && !summaryDue) {
            summaryDue = true;
            loop.after(SUMMARY_PERIOD, () -> {
                summaryDue = false;
                Log.info("requests: %s", summary.take());
            });
        }
    }

    // ---- what the router wants ----

    private void feed(RouterEvent event) {
        feed(loop.now(), event);
    }

    /** Events that arise while the router's actions are carried out wait until these are done. */
    private void feed(long now, RouterEvent event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            List<RouterAction> actions = new ArrayList<>();
            long at = now;
            for (RouterEvent next = events.poll(); next != null; next = events.poll()) {
                try {
                    router.handle(at, next, actions::add);
                } catch (RuntimeException e) {
                    Log.failure("router", e);
                }
                actions.forEach(this::perform);
                actions.clear();
                at = loop.now();
            }
        } finally {
            handling = false;
        }
    }

    private void perform(RouterAction action) {
        if (action instanceof RouterAction.StartAttempt send) {
            send(send);
        } else if (action instanceof RouterAction.Reject refuse) {
            Held held = byId.get(refuse.id());
            if (held != null) {
                close(held, "refused", Figures.End.REFUSED);
                held.front.refused(held.ticket, refuse.retryAfterMicros());
            }
        } else if (action instanceof RouterAction.Fail fail) {
            Held held = byId.get(fail.id());
            if (held != null) {
                close(held, "failed", Figures.End.FAILED);
                held.front.failed(held.ticket);
            }
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            attempts.each(a -> {
                if (a.number == cancel.attempt() && a.of.id.equals(cancel.id())) {
                    abandon(a, AttemptOutcome.CANCELLED);
                }
            });
        } else if (action instanceof RouterAction.CheckHealth probe) {
            probe(probe.node());
        } else if (action instanceof RouterAction.CloseIdleConnections close) {
            closeIdle(close.node());
        } else if (action instanceof RouterAction.WatchEndpoints subscribe) {
            directory.subscribe(subscribe.active());
        } else if (action instanceof RouterAction.FetchEndpoints) {
            directory.fetch();
        } else if (action instanceof RouterAction.SetTimer timer) {
            loop.after(timer.delayMicros(), () -> feed(new RouterEvent.TimerFired(timer.handle())));
        } else if (action instanceof RouterAction.LogMessage note) {
            Log.info("router: %s", note.text());
        }
    }

    private void send(RouterAction.StartAttempt send) {
        Held held = byId.get(send.id());
        long now = loop.now();
        int number = held == null ? 0 : held.attempts++;
        if (number == 0 && held != null) {
            held.firstSent = now;
        }
        boolean deserted = held != null && held.front.left(held.ticket);
        if (deserted) {
            // The core has not come to its client's end yet, which may be long ago by then.
            leave(held);
        }
        Instance instance = instances.get(send.node());
        String address = held == null || instance == null ? null : instance.addresses.get(held.ask.protocol());
        if (deserted || address == null || attempts.full() || fenced()) {
            feed(new RouterEvent.AttemptEnded(
                    send.id(),
                    number,
                    send.node(),
                    AttemptOutcome.NOT_SENT,
                    0,
                    deserted || held == null,
                    LogPosition.UNKNOWN,
                    ServerRole.UNKNOWN));
            return;
        }
        long left = held.expires - now;
        long wait = send.timeoutMicros() == 0 ? left : Math.min(send.timeoutMicros(), left);
        Attempt a = new Attempt(held, number, send.node(), now);
        a.handle = attempts.put(a);
        summary.begins(number);
        held.out = a;
        a.timeout = loop.after(wait, () -> abandon(a, AttemptOutcome.TIMED_OUT));
        backends.get(held.ask.protocol())
                .send(
                        a.handle,
                        a.node,
                        address,
                        held.ask.statement(),
                        wait,
                        send.startWithinMicros() == 0 ? wait : Math.min(send.startWithinMicros(), wait));
    }

    /** What was never handed to a socket has not run, whatever ended the wait for it. */
    private void abandon(Attempt a, AttemptOutcome ending) {
        boolean left = backends.get(a.of.ask.protocol()).abandon(a.handle);
        ended(a.handle, left ? ending : AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    private void probe(String node) {
        Instance instance = instances.get(node);
        Map<String, String> known = instance == null ? Map.of() : instance.addresses;
        for (Map.Entry<String, Backend> backend : backends.entrySet()) {
            String address = known.get(backend.getKey());
            if (address != null) {
                backend.getValue().probe(node, address);
                return;
            }
        }
        probed(node, AttemptOutcome.NOT_SENT, 0, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }
}
