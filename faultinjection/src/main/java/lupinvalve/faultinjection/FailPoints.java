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
public final class FailPoints {
    /** What a process is about to do at a point. */
    public enum StepKind {
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
        DIE_BEFORE(true, EnumSet.allOf(StepKind.class)),
        DIE_AFTER(true, EnumSet.complementOf(EnumSet.of(StepKind.TIMER))),
        /** Half of what was to be written is, then the process dies. */
        TORN(true, EnumSet.of(StepKind.WRITE)),
        /** All processes die before the step. */
        POWER_CUT(true, EnumSet.of(StepKind.FORCE, StepKind.SEND, StepKind.ARRIVE, StepKind.REPLACE, StepKind.DELETE)),
        /** The call fails and the process goes on. */
        FAIL(false, EnumSet.range(StepKind.READ, StepKind.DELETE)),
        LOST(false, EnumSet.of(StepKind.SEND)),
        DOUBLED(false, EnumSet.of(StepKind.SEND)),
        /** The message comes 2 s later, behind those sent after it. */
        LATE(false, EnumSet.of(StepKind.SEND)),
        /** The process stands still for 10 s, then wakes. */
        STOPPED(false, EnumSet.of(StepKind.TIMER));

        /** Whether it ends a process. */
        public final boolean endsProcess;

        private final Set<StepKind> fits;

        Fault(boolean ends, Set<StepKind> fits) {
            this.endsProcess = ends;
            this.fits = fits;
        }

        /** Whether it can come at such a step. */
        public boolean fits(StepKind kind) {
            return fits.contains(kind);
        }
    }

    /** A fault at a point, by its number from 1. */
    public record PlannedFault(int point, Fault fault) {
        @Override
        public String toString() {
            return point + ":" + fault;
        }

        /** Reads what {@link #toString} wrote; throws IllegalArgumentException where it is none. */
        public static PlannedFault parse(String text) {
            int colon = text.indexOf(':');
            if (colon < 0) {
                throw new IllegalArgumentException("not POINT:FAULT: " + text);
            }
            return new PlannedFault(
                    Integer.parseInt(text.substring(0, colon)), Fault.valueOf(text.substring(colon + 1)));
        }
    }

    private final Map<Integer, Fault> plan = new TreeMap<>();
    private final List<StepKind> reachedSteps = new ArrayList<>();
    private boolean enabled;
    private Consumer<String> tracer;

    /** With faults at the points named. */
    public FailPoints(PlannedFault... faults) {
        for (PlannedFault at : faults) {
            plan.put(at.point(), at.fault());
        }
    }

    /** Counts from here on, or no more. */
    public void setEnabled(boolean now) {
        enabled = now;
    }

    /** The next point is reached: the fault that comes there, or null. */
    public Fault nextFault(StepKind kind) {
        if (!enabled) {
            return null;
        }
        reachedSteps.add(kind);
        Fault fault = plan.get(reachedSteps.size());
        // After a first fault a course is another one: a later point may be of a kind that the fault does not fit.
        if (fault != null && !fault.fits(kind)) {
            return null;
        }
        return fault;
    }

    /** Hears what happens at each step from now on. */
    public void setTracer(Consumer<String> to) {
        tracer = to;
    }

    /** Says what happens, where anybody listens; told only then. */
    public void trace(Supplier<String> what) {
        if (tracer != null) {
            tracer.accept((enabled ? reachedSteps.size() + " " : "- ") + what.get());
        }
    }

    /** The kinds of the points met, in order. */
    public List<StepKind> reachedSteps() {
        return Collections.unmodifiableList(reachedSteps);
    }

    /** Each fault that fits at each point of a course without faults. */
    public static List<PlannedFault> allSingleFaults(List<StepKind> course) {
        List<PlannedFault> all = new ArrayList<>();
        for (int i = 0; i < course.size(); i++) {
            for (Fault fault : Fault.values()) {
                if (fault.fits(course.get(i))) {
                    all.add(new PlannedFault(i + 1, fault));
                }
            }
        }
        return all;
    }
}
