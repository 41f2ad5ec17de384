package lupinvalve.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.xbill.DNS.Type;

/**
 * Decides which question to a resolver is sent when. The question about the service, which names the instances, is
 * asked at its own pace beside all others. Of these, the ones that were never answered come first; ones that are
 * answered take turns with ones that fail, which are asked less often and leave room for the others. A question is
 * repeated when its answer is overdue; the answer still counts when it comes.
 *
 * <p>No I/O and no clock: callers pass the time in microseconds. Not thread-safe.
 */
final class QuestionSchedule {
    /** Answers that may be awaited in all, overdue ones included; the question about the service is not bound by it. */
    private static final int MAX_AWAITED = 64;
    /** How long an answer is awaited at most, which may be long after its question has been repeated. */
    private static final long MAX_AWAIT_MICROS = 5_000_000;
    /** Where answers come soon, late ones are awaited less long, so that lost ones take no place for others. */
    private static final long MIN_AWAIT_MICROS = 1_000_000;

    private static final int AWAITED_TIMEOUTS = 4;
    /** The longest pause between two questions about the service that are not answered. */
    private static final long MAX_SERVICE_RETRY_MICROS = 2_000_000;
    /** The longest pause between repetitions of any other question that is not answered. */
    private static final long MAX_RETRY_MICROS = 4_000_000;

    /** Repetitions before the pause doubles with each further one; a resolver may lose several answers in a row. */
    private static final int EVEN_RETRIES = 3;

    private static final int MAX_DOUBLINGS = 4;
    /** Questions in a row without an answer after which the resolver counts as silent. */
    private static final int SILENT_AFTER_QUESTIONS = 3;
    /** Time since its last response after which a resolver counts as silent. */
    private static final long SILENT_AFTER_MICROS = 1_000_000;
    /** Pause between questions other than the one about the service while the resolver is silent. */
    private static final long SILENT_PAUSE_MICROS = 10_000_000;
    /** How much longer other questions wait than ones about attributes, where a resolver is too slow for all. */
    private static final long ATTRIBUTES_LEAD_MICROS = 5_000_000;
    /** Questions that were answered before get this many turns for each turn of one that fails. */
    private static final int TURNS_PER_FAILING = 3;

    /** A question that has been sent. */
    static final class Sent {
        private final Scheduled scheduled;
        private final long number;
        private final long sentAtMicros;
        private final long overdueAtMicros;
        private final int openQuestions;
        private boolean isOpen = true;

        private Sent(Scheduled scheduled, long number, long sentAtMicros, long timeoutMicros, int openQuestions) {
            this.scheduled = scheduled;
            this.number = number;
            this.sentAtMicros = sentAtMicros;
            overdueAtMicros = sentAtMicros + timeoutMicros;
            this.openQuestions = openQuestions;
        }

        DnsQuestion question() {
            return scheduled.question;
        }

        /** Whether its answer is awaited and not overdue. */
        boolean isOpen() {
            return isOpen;
        }

        /** How long its answer is awaited. */
        long awaitMicros() {
            long timeoutMicros = overdueAtMicros - sentAtMicros;
            return Math.max(MIN_AWAIT_MICROS, Math.min(MAX_AWAIT_MICROS, AWAITED_TIMEOUTS * timeoutMicros));
        }
    }

    private final class Scheduled {
        private final DnsQuestion question;
        private final long order;
        private long dueAtMicros;
        private int failures;
        /** The number of the newest question that has been answered; 0 for none. */
        private long answeredNumber;

        private Sent open;

        private QuestionSchedule schedule() {
            return QuestionSchedule.this;
        }

        private Scheduled(DnsQuestion question, long order, long dueAtMicros) {
            this.question = question;
            this.order = order;
            this.dueAtMicros = dueAtMicros;
        }
    }

    private static final Comparator<Scheduled> BY_TIME = Comparator.<Scheduled>comparingLong(
                    scheduled -> scheduled.dueAtMicros)
            .thenComparingLong(scheduled -> scheduled.order);

    /** Ids and states first, then what completes an instance whose host is known. */
    private static final Comparator<Scheduled> BY_TYPE = Comparator.<Scheduled>comparingInt(
                    scheduled -> typeRank(scheduled.question.type()))
            .thenComparing(BY_TIME);

    private final long pollMicros;
    private final Scheduled service;
    private final QuestionWindow window = new QuestionWindow();
    private final Map<DnsQuestion, Scheduled> wanted = new HashMap<>();
    /** The wanted questions that are not open: never answered nor failed, answered, and failing. */
    private final TreeSet<Scheduled> unanswered = new TreeSet<>(BY_TYPE);

    /** The answered ones about attributes, which have an instance's state, and all others. */
    private final TreeSet<Scheduled> answeredAttributes = new TreeSet<>(BY_TIME);

    private final TreeSet<Scheduled> answeredOthers = new TreeSet<>(BY_TIME);
    private final TreeSet<Scheduled> failing = new TreeSet<>(BY_TIME);
    private final Set<Sent> open = new HashSet<>();
    private int openFailing;
    private int awaited;
    private long lastNumber;
    private long lastOrder;
    private int turnsSinceFailing;
    private int questionsWithoutAnswer;
    private long lastResponseMicros;
    private boolean isSilent;
    private long nextWhileSilentMicros;

    /** @param pollMicros pause from an answer to the next time its question is sent */
    QuestionSchedule(DnsQuestion serviceQuestion, long pollMicros, long nowMicros) {
        this.pollMicros = pollMicros;
        service = new Scheduled(serviceQuestion, 0, nowMicros);
        lastResponseMicros = nowMicros;
    }

    private static int typeRank(int type) {
        return switch (type) {
            case Type.TXT -> 0;
            case Type.SRV -> 2;
            default -> 1;
        };
    }

    /** Adds questions beside the one about the service, due at once; those that are there already are not changed. */
    void add(Collection<DnsQuestion> questions, long nowMicros) {
        for (DnsQuestion question : questions) {
            if (!wanted.containsKey(question)) {
                Scheduled scheduled = new Scheduled(question, ++lastOrder, nowMicros);
                wanted.put(question, scheduled);
                queue(scheduled).add(scheduled);
            }
        }
    }

    /** Removes all questions beside the one about the service but these. */
    void retain(Set<DnsQuestion> questions) {
        wanted.values().removeIf(scheduled -> {
            boolean isUnwanted = !questions.contains(scheduled.question);
            if (isUnwanted) {
                queue(scheduled).remove(scheduled);
                if (scheduled.open != null) {
                    close(scheduled.open);
                }
            }
            return isUnwanted;
        });
    }

    /** Makes the question about the service due now, unless it is open. */
    void askServiceNow(long nowMicros) {
        service.dueAtMicros = Math.min(service.dueAtMicros, nowMicros);
    }

    /** Whether the question about the service has failed more than once since its last answer. */
    boolean isServiceFailing() {
        return service.failures > 1;
    }

    /** Whether a question was sent by this schedule, not by one that it replaces. */
    boolean hasSent(Sent sent) {
        return sent.scheduled.schedule() == this;
    }

    /** The next question to send now, or null. */
    Sent next(long nowMicros) {
        if (service.open == null && service.dueAtMicros <= nowMicros) {
            return send(service, nowMicros);
        }
        Scheduled scheduled = nextOfOthers(nowMicros);
        if (scheduled == null) {
            return null;
        }
        turnsSinceFailing = scheduled.failures > 0 ? 0 : turnsSinceFailing + 1;
        nextWhileSilentMicros = nowMicros + SILENT_PAUSE_MICROS;
        return send(scheduled, nowMicros);
    }

    private Scheduled nextOfOthers(long nowMicros) {
        if (!hasRoom(nowMicros) || isSilent && nowMicros < nextWhileSilentMicros) {
            return null;
        }
        Scheduled retry = hasRoomForFailing() ? firstDue(failing, nowMicros) : null;
        Scheduled refresh = nextAnswered(nowMicros);
        Scheduled fresh = firstDue(unanswered, nowMicros);
        if (fresh != null) {
            return fresh;
        }
        return retry != null && (refresh == null || turnsSinceFailing >= TURNS_PER_FAILING) ? retry : refresh;
    }

    /**
     * The next of the questions that were answered; where there is no time for all, attributes are asked more often.
     */
    private Scheduled nextAnswered(long nowMicros) {
        Scheduled attributes = firstDue(answeredAttributes, nowMicros);
        Scheduled other = firstDue(answeredOthers, nowMicros);
        if (attributes == null || other == null) {
            return attributes == null ? other : attributes;
        }
        return attributes.dueAtMicros <= other.dueAtMicros + ATTRIBUTES_LEAD_MICROS ? attributes : other;
    }

    private static Scheduled firstDue(TreeSet<Scheduled> queue, long nowMicros) {
        return queue.isEmpty() || queue.first().dueAtMicros > nowMicros ? null : queue.first();
    }

    /** Whether a question beside the one about the service may be sent. */
    private boolean hasRoom(long nowMicros) {
        if (window.needsLoneQuestion(nowMicros)) {
            return open.isEmpty();
        }
        int openOthers = open.size() - (service.open == null ? 0 : 1);
        return openOthers < window.size() && awaited < MAX_AWAITED;
    }

    private boolean hasRoomForFailing() {
        return openFailing < Math.max(1, window.size() / 2);
    }

    private TreeSet<Scheduled> queue(Scheduled scheduled) {
        if (scheduled.failures > 0) {
            return failing;
        }
        if (scheduled.answeredNumber == 0) {
            return unanswered;
        }
        return scheduled.question.type() == Type.TXT ? answeredAttributes : answeredOthers;
    }

    private Sent send(Scheduled scheduled, long nowMicros) {
        queue(scheduled).remove(scheduled);
        Sent sent = new Sent(scheduled, ++lastNumber, nowMicros, window.timeoutMicros(), open.size() + 1);
        scheduled.open = sent;
        open.add(sent);
        openFailing += scheduled != service && scheduled.failures > 0 ? 1 : 0;
        awaited++;
        return sent;
    }

    private void close(Sent sent) {
        sent.isOpen = false;
        open.remove(sent);
        if (sent.scheduled.open == sent) {
            sent.scheduled.open = null;
            openFailing -= sent.scheduled != service && sent.scheduled.failures > 0 ? 1 : 0;
        }
    }

    /** Records the questions whose answers are overdue, which are due again, and returns them. */
    List<DnsQuestion> expire(long nowMicros) {
        List<DnsQuestion> expired = new ArrayList<>();
        for (Sent sent : List.copyOf(open)) {
            if (nowMicros >= sent.overdueAtMicros) {
                withoutAnswer(sent, nowMicros);
                expired.add(sent.question());
            }
        }
        return expired;
    }

    private void withoutAnswer(Sent sent, long nowMicros) {
        questionsWithoutAnswer++;
        fail(sent);
        boolean isOld = nowMicros - lastResponseMicros >= SILENT_AFTER_MICROS;
        if (!isSilent && isOld && questionsWithoutAnswer >= SILENT_AFTER_QUESTIONS) {
            isSilent = true;
            window.silent();
            // Tells a silent resolver from questions that alone are not answered.
            askServiceNow(nowMicros);
        }
    }

    /** Closes a question that has failed, and schedules it anew with a pause that doubles with each failure. */
    private void fail(Sent sent) {
        Scheduled scheduled = sent.scheduled;
        close(sent);
        long pauseMicros =
                window.timeoutMicros() << Math.min(Math.max(0, scheduled.failures - EVEN_RETRIES), MAX_DOUBLINGS);
        long maxMicros = scheduled == service ? MAX_SERVICE_RETRY_MICROS : MAX_RETRY_MICROS;
        reschedule(scheduled, scheduled.failures + 1, sent.sentAtMicros + Math.min(pauseMicros, maxMicros));
    }

    private void reschedule(Scheduled scheduled, int failures, long dueAtMicros) {
        queue(scheduled).remove(scheduled);
        scheduled.failures = failures;
        scheduled.dueAtMicros = dueAtMicros;
        if (wanted.get(scheduled.question) == scheduled) {
            queue(scheduled).add(scheduled);
        }
    }

    /**
     * Records what came of a question that was sent: an answer, an error, or that none is awaited any longer.
     *
     * @param hasFailed whether the resolver has said nothing about the question
     * @param hasResponded whether the resolver has responded, be it with an error
     * @return whether the answer counts: it says something that is newer than what was known, and is still wanted
     */
    boolean ended(Sent sent, boolean hasFailed, boolean hasResponded, long nowMicros) {
        awaited--;
        if (hasResponded) {
            responded(sent, nowMicros);
        }
        Scheduled scheduled = sent.scheduled;
        if (hasFailed) {
            if (sent.isOpen && hasResponded) {
                fail(sent);
            } else if (sent.isOpen) {
                withoutAnswer(sent, nowMicros);
            }
            return false;
        }
        boolean isWanted = scheduled == service || wanted.get(scheduled.question) == scheduled;
        boolean counts = isWanted && sent.number > scheduled.answeredNumber;
        if (counts) {
            answered(scheduled, sent.number, nowMicros);
        }
        return counts;
    }

    /** The resolver has answered; what failed while it was silent is due at once. */
    private void responded(Sent sent, long nowMicros) {
        window.answered(nowMicros, nowMicros - sent.sentAtMicros, sent.openQuestions);
        if (isSilent) {
            for (Scheduled scheduled : List.copyOf(failing)) {
                reschedule(scheduled, scheduled.failures, nowMicros);
            }
        }
        isSilent = false;
        questionsWithoutAnswer = 0;
        lastResponseMicros = nowMicros;
    }

    /**
     * Records that the answer to a question had the records that another one asks for.
     *
     * @return whether they count, as they are newer than what was known
     */
    boolean answeredBy(Sent sent, DnsQuestion question, long nowMicros) {
        Scheduled scheduled = wanted.get(question);
        if (scheduled == null || sent.number <= scheduled.answeredNumber) {
            return false;
        }
        answered(scheduled, sent.number, nowMicros);
        return true;
    }

    private void answered(Scheduled scheduled, long number, long nowMicros) {
        if (scheduled.open != null) {
            close(scheduled.open);
        }
        queue(scheduled).remove(scheduled);
        scheduled.answeredNumber = number;
        reschedule(scheduled, 0, nowMicros + pollMicros);
    }

    /** When {@link #expire} or {@link #next} may have something to do, unless a question ends before. */
    long nextWakeMicros(long nowMicros) {
        long wakeMicros = service.open == null ? service.dueAtMicros : Long.MAX_VALUE;
        for (Sent sent : open) {
            wakeMicros = Math.min(wakeMicros, sent.overdueAtMicros);
        }
        if (hasRoom(nowMicros)) {
            long othersMicros =
                    Math.min(firstAt(unanswered), Math.min(firstAt(answeredAttributes), firstAt(answeredOthers)));
            othersMicros = hasRoomForFailing() ? Math.min(othersMicros, firstAt(failing)) : othersMicros;
            wakeMicros = Math.min(wakeMicros, isSilent ? Math.max(othersMicros, nextWhileSilentMicros) : othersMicros);
        }
        return wakeMicros;
    }

    private static long firstAt(TreeSet<Scheduled> queue) {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.first().dueAtMicros;
    }
}
