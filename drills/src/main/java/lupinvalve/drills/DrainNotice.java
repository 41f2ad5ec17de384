package lupinvalve.drills;

import java.util.ArrayList;
import java.util.List;

/**
 * Determines when one pooler counts as notified that one db node drains: at discovery's first answer that lists the
 * drain, or six seconds after discovery had the change, whichever comes first, whatever calls failed, were refused or
 * closed by the pooler. A process that is started meanwhile is notified by answers to its own calls, but the six
 * seconds run on: a start does not extend them. Does no I/O; times are in milliseconds of one clock.
 */
final class DrainNotice {
    /**
     * How long after discovery had a change the pooler counts as notified even without an answer; and how long after a
     * watch fell silent it counts as notified of the changes that the watch missed.
     */
    static final long NOTICE_LIMIT_MILLIS = 6_000;
    /** A time that is never reached. */
    static final long NEVER = Long.MAX_VALUE;

    /** Why a pooler counts as notified. */
    enum Basis {
        /** Discovery wrote the change to the pooler's running process. */
        ANSWERED,
        /** The six seconds passed before discovery wrote the change. */
        LIMIT,
        /** Six seconds since the pooler's watch fell silent passed before discovery wrote the change. */
        SILENCE
    }

    /**
     * The period in which one process counts as notified.
     *
     * @param from when the pooler was notified, which may be before the process started
     * @param to the end of the drain or of the process
     */
    record NoticePeriod(long from, long to, Basis basis) {}

    /** One process of the pooler, with the time at which discovery first wrote the change to it. */
    private static final class ProcessRun {
        final long begunAt;
        final long deadlineAt;
        long answeredAt = NEVER;

        ProcessRun(long begunAt, long deadlineAt) {
            this.begunAt = begunAt;
            this.deadlineAt = deadlineAt;
        }
    }

    private final long limitAt;
    private final List<ProcessRun> runs = new ArrayList<>();

    /**
     * Begins with the drain.
     *
     * @param silentSince when the pooler's watch fell silent, with none answered since; {@link #NEVER} for no silent
     *     watch
     */
    DrainNotice(long begunAt, long silentSince) {
        limitAt = begunAt + NOTICE_LIMIT_MILLIS;
        runs.add(new ProcessRun(
                begunAt, silentSince == NEVER ? limitAt : Math.max(begunAt, silentSince + NOTICE_LIMIT_MILLIS)));
    }

    /** Discovery wrote that the db node drains, on a call that the pooler had not closed. */
    void answered(long at) {
        ProcessRun current = runs.get(runs.size() - 1);
        current.answeredAt = Math.min(current.answeredAt, at);
    }

    /** The pooler's process was started; a silent watch of the previous process has ended with it. */
    void started(long at) {
        runs.add(new ProcessRun(at, limitAt));
    }

    /** Ends the drain; returns the periods in which the pooler counts as notified. */
    List<NoticePeriod> ended(long at) {
        List<NoticePeriod> periods = new ArrayList<>();
        for (int i = 0; i < runs.size(); i++) {
            ProcessRun run = runs.get(i);
            long to = i + 1 < runs.size() ? runs.get(i + 1).begunAt : at;
            Basis unansweredBasis = run.deadlineAt < limitAt ? Basis.SILENCE : Basis.LIMIT;
            Basis basis = run.answeredAt <= run.deadlineAt ? Basis.ANSWERED : unansweredBasis;
            long from = Math.min(run.answeredAt, run.deadlineAt);
            if (from < to) {
                periods.add(new NoticePeriod(from, to, basis));
            }
        }
        return periods;
    }
}
