package lupinvalve.faultinjection;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Numbers the steps at which a process meets the world, and says which fault, if any, comes at one. It counts only
 * while it is on, so that a scenario's own steps are numbered and not those that lead to it. No I/O, no clock.
 */
public final class Points {
    /** What a process is about to do at a point. */
    public enum Kind {
        READ,
        CREATE,
        WRITE,
        FORCE,
        REPLACE,
        CUT,
        DELETE,
        SEND,
        ARRIVE,
        TIMER
    }

    /** What may go wrong there. */
    public enum Fault {
        /** The process dies before the step, or after it; its disk loses some of what was not forced. */
        DIE_BEFORE(true, EnumSet.allOf(Kind.class)),
        DIE_AFTER(true, EnumSet.complementOf(EnumSet.of(Kind.TIMER))),
        /** Half of what was to be written is, then the process dies. */
        TORN(true, EnumSet.of(Kind.WRITE)),
        /** All processes die before the step. */
        POWER_CUT(true, EnumSet.of(Kind.FORCE, Kind.SEND, Kind.ARRIVE, Kind.REPLACE, Kind.DELETE)),
        /** The call fails and the process goes on. */
        FAIL(false, EnumSet.range(Kind.READ, Kind.DELETE)),
        LOST(false, EnumSet.of(Kind.SEND)),
        DOUBLED(false, EnumSet.of(Kind.SEND)),
        /** The message comes 2 s later, behind those sent after it. */
        LATE(false, EnumSet.of(Kind.SEND)),
        /** The process stands still for 10 s, then wakes. */
        STOPPED(false, EnumSet.of(Kind.TIMER));

        /** Whether it ends a process. */
        public final boolean ends;

        private final Set<Kind> fits;

        Fault(boolean ends, Set<Kind> fits) {
            this.ends = ends;
            this.fits = fits;
        }

        /** Whether it can come at such a step. */
        public boolean fits(Kind kind) {
            return fits.contains(kind);
        }
    }

    /** A fault at a point, by its number from 1. */
    public record At(int point, Fault fault) {
        @Override
        public String toString() {
            return point + ":" + fault;
        }

        /** Reads what {@link #toString} wrote; throws IllegalArgumentException where it is none. */
        public static At of(String text) {
            int colon = text.indexOf(':');
            if (colon < 0) {
                throw new IllegalArgumentException("not POINT:FAULT: " + text);
            }
            return new At(Integer.parseInt(text.substring(0, colon)), Fault.valueOf(text.substring(colon + 1)));
        }
    }

    private final Map<Integer, Fault> plan = new TreeMap<>();
    private final List<Kind> met = new ArrayList<>();
    private boolean on;
    private Consumer<String> trace;

    /** With faults at the points named. */
    public Points(At... faults) {
        for (At at : faults) {
            plan.put(at.point(), at.fault());
        }
    }

    /** Counts from here on, or no more. */
    public void count(boolean now) {
        on = now;
    }

    /** The next point is reached: the fault that comes there, or null. */
    public Fault next(Kind kind) {
        if (!on) {
            return null;
        }
        met.add(kind);
        Fault fault = plan.get(met.size());
        // After a first fault a course is another one: a later point may be of a kind that the fault does not fit.
        if (fault != null && !fault.fits(kind)) {
            return null;
        }
        return fault;
    }

    /** Hears what happens at each step from now on. */
    public void trace(Consumer<String> to) {
        trace = to;
    }

    /** Says what happens, where anybody listens; told only then. */
    public void note(Supplier<String> what) {
        if (trace != null) {
            trace.accept((on ? met.size() + " " : "- ") + what.get());
        }
    }

    /** The kinds of the points met, in order. */
    public List<Kind> met() {
        return Collections.unmodifiableList(met);
    }

    /** Each fault that fits at each point of a course without faults. */
    public static List<At> all(List<Kind> course) {
        List<At> all = new ArrayList<>();
        for (int i = 0; i < course.size(); i++) {
            for (Fault fault : Fault.values()) {
                if (fault.fits(course.get(i))) {
                    all.add(new At(i + 1, fault));
                }
            }
        }
        return all;
    }
}
