package lupinvalve.drills;

import java.util.ArrayList;
import java.util.List;

/**
 * When one pooler counts as told that one db node drains: at discovery's first answer that says so, or six seconds
 * after discovery had the change, whichever comes first, whatever calls failed, were refused or given up. A process
 * that is started meanwhile learns from answers of its own, but the six seconds run on: a start does not set them back.
 * Without I/O; times are in milliseconds of one clock.
 */
final class DrainNotice {
    /**
     * So long after discovery had a change it binds, told or not; and so long after a watch fell silent, what that
     * missed.
     */
    static final long TOLD_AT_LATEST = 6_000;
    /** Stands for a time that never comes. */
    static final long NEVER = Long.MAX_VALUE;

    /** How a pooler came to count as told. */
    enum Basis {
        /** Discovery wrote the change to the process that runs. */
        ANSWERED,
        /** The six seconds had passed before it did. */
        LIMIT,
        /** The six seconds since its watch fell silent had passed before it did. */
        SILENCE
    }

    /**
     * A time in which one process counts as told.
     *
     * @param from when it was told, which may be before the process began
     * @param to the drain's or the process's end
     */
    record Told(long from, long to, Basis basis) {}

    /** One process of the pooler, and when discovery first wrote the change to it. */
    private static final class Life {
        final long begunAt;
        final long latest;
        long answeredAt = NEVER;

        Life(long begunAt, long latest) {
            this.begunAt = begunAt;
            this.latest = latest;
        }
    }

    private final long limit;
    private final List<Life> lives = new ArrayList<>();

    /**
     * A drain begins.
     *
     * @param silentSince when the pooler's watch fell silent, with none answered since, or {@link #NEVER} where it did
     *     not
     */
    DrainNotice(long begunAt, long silentSince) {
        limit = begunAt + TOLD_AT_LATEST;
        lives.add(new Life(begunAt, silentSince == NEVER ? limit : Math.max(begunAt, silentSince + TOLD_AT_LATEST)));
    }

    /** Discovery wrote that the db node drains, on a call that the pooler had not given up. */
    void answered(long at) {
        Life now = lives.get(lives.size() - 1);
        now.answeredAt = Math.min(now.answeredAt, at);
    }

    /** The pooler's process was started; a watch that had fallen silent ended with the one before. */
    void started(long at) {
        lives.add(new Life(at, limit));
    }

    /** The times in which the pooler counts as told, once the drain has ended. */
    List<Told> ended(long at) {
        List<Told> told = new ArrayList<>();
        for (int i = 0; i < lives.size(); i++) {
            Life life = lives.get(i);
            long to = i + 1 < lives.size() ? lives.get(i + 1).begunAt : at;
            Basis missed = life.latest < limit ? Basis.SILENCE : Basis.LIMIT;
            Basis basis = life.answeredAt <= life.latest ? Basis.ANSWERED : missed;
            long from = Math.min(life.answeredAt, life.latest);
            if (from < to) {
                told.add(new Told(from, to, basis));
            }
        }
        return told;
    }
}
