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
 * Numbers the steps at which a process meets its disk, the network or a timer, and says which fault, if any, comes at
 * one. Counts only while enabled, so that a scenario's own steps are numbered and not those that lead to it. No I/O, no
 * clock; not thread-safe.
 */
public final class FailPoints {
    /** What a process is about to do. */
    public enum StepKind {
        /** Read a file or a directory. */
        READ,
        /** Create a file. */
        CREATE,
        /** Write to a file. */
        WRITE,
        /** Force a file to disk. */
        FORCE,
        /** Replace a file atomically. */
        REPLACE,
        /** Truncate a file. */
        CUT,
        /** Delete a file. */
        DELETE,
        /** Send a message. */
        SEND,
        /** Receive a message. */
        ARRIVE,
        /** Run what its scheduler hands it. */
        TIMER
    }

    /** What may go wrong there. */
    public enum Fault {
        /** The process dies before the step; its disk loses some of what was not forced. */
        DIE_BEFORE(true, EnumSet.allOf(StepKind.class)),
        /** The process dies after the step; its disk loses some of what was not forced. */
        DIE_AFTER(true, EnumSet.complementOf(EnumSet.of(StepKind.TIMER))),
        /** Half of what was to be written is, then the process dies. */
        TORN(true, EnumSet.of(StepKind.WRITE)),
        /** All processes die before the step. */
        POWER_CUT(true, EnumSet.of(StepKind.FORCE, StepKind.SEND, StepKind.ARRIVE, StepKind.REPLACE, StepKind.DELETE)),
        /** The call fails and the process goes on. */
        FAIL(false, EnumSet.range(StepKind.READ, StepKind.DELETE)),
        /** The message is lost. */
        LOST(false, EnumSet.of(StepKind.SEND)),
        /** The message arrives twice. */
        DOUBLED(false, EnumSet.of(StepKind.SEND)),
        /** The message comes 2 s later, behind those sent after it. */
        LATE(false, EnumSet.of(StepKind.SEND)),
        /** The process stands still for 10 s, then wakes. */
        STOPPED(false, EnumSet.of(StepKind.TIMER));

        /** Whether it ends a process. */
        public final boolean endsProcess;

        private final Set<StepKind> fits;

        Fault(boolean endsProcess, Set<StepKind> fits) {
            this.endsProcess = endsProcess;
            this.fits = fits;
        }

        /** Whether it can come at such a step. */
        public boolean fits(StepKind kind) {
            return fits.contains(kind);
        }
    }

    /**
     * A fault at a point.
     *
     * @param point its number, from 1
     */
    public record PlannedFault(int point, Fault fault) {
        @Override
        public String toString() {
            return point + ":" + fault;
        }

        /** Parses what {@link #toString} gives; throws IllegalArgumentException where the text is none. */
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

    /** With the faults that are to come. */
    public FailPoints(PlannedFault... faults) {
        for (PlannedFault planned : faults) {
            plan.put(planned.point(), planned.fault());
        }
    }

    /** Counts points from here on, or no more. */
    public void setEnabled(boolean enabled) {
        this.enabled = enabled;
    }

    /** The next point is reached: returns the fault that comes there, or null. */
    public Fault nextFault(StepKind kind) {
        if (!enabled) {
            return null;
        }
        reachedSteps.add(kind);
        Fault fault = plan.get(reachedSteps.size());
        // After a first fault a run goes another way: a later point may be of a kind that the fault does not fit.
        return fault != null && fault.fits(kind) ? fault : null;
    }

    /** Gives all further trace lines to {@code tracer}. */
    public void setTracer(Consumer<String> tracer) {
        this.tracer = tracer;
    }

    /** Traces a line, with the number of the point before it; {@code line} is called only where there is a tracer. */
    public void trace(Supplier<String> line) {
        if (tracer != null) {
            tracer.accept((enabled ? reachedSteps.size() + " " : "- ") + line.get());
        }
    }

    /** The kinds of the steps at the points reached so far, in order; a view. */
    public List<StepKind> reachedSteps() {
        return Collections.unmodifiableList(reachedSteps);
    }

    /** Each fault that fits at each of the points with such steps. */
    public static List<PlannedFault> allSingleFaults(List<StepKind> steps) {
        List<PlannedFault> all = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            for (Fault fault : Fault.values()) {
                if (fault.fits(steps.get(i))) {
                    all.add(new PlannedFault(i + 1, fault));
                }
            }
        }
        return all;
    }
}
