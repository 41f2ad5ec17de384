package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import lupinvalve.log.Log;

/**
 * Numbers the disk operations, timer runs and messages of the member that runs in this process, and halts or stops the
 * process, or makes the operation fail, at one of them.
 */
public final class FailPointInterceptors implements RaftMember.Interceptors {
    /** Exit code of a process that halted itself at its fail point; that of a process killed by SIGKILL. */
    public static final int EXIT_CODE = 137;

    private final FailPoints points = new FailPoints();
    private final FileChannel stepFile;
    private FailPoints.PlannedFault pendingFault;
    private boolean haltsAtNextWork;

    /**
     * @param plannedFault the point and its fault, or null for none. Real processes reach their points in no fixed
     *     order: where the fault does not fit the point, it is injected at the next point that it fits.
     * @param stepFile file to which the kind of each point reached is appended, one character each; null for none
     */
    public FailPointInterceptors(FailPoints.PlannedFault plannedFault, Path stepFile) throws IOException {
        pendingFault = plannedFault;
        this.stepFile = stepFile == null
                ? null
                : FileChannel.open(stepFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        points.setEnabled(true);
    }

    /** The character that stands for a kind in the step file. */
    public static char letter(StepKind kind) {
        return (char) ('a' + kind.ordinal());
    }

    private Fault nextFault(StepKind kind) {
        points.nextFault(kind);
        Fault fault = null;
        if (pendingFault != null
                && points.reachedSteps().size() >= pendingFault.point()
                && pendingFault.fault().fits(kind)) {
            fault = pendingFault.fault();
            pendingFault = null;
        }
        if (stepFile != null) {
            try {
                stepFile.write(ByteBuffer.wrap(new byte[] {(byte) letter(kind)}));
            } catch (IOException e) {
                Log.error("can't append to the file of fail points reached, the daemon runs on: %s", e.getMessage());
            }
        }
        if (fault != null) {
            Log.warn("point %s at %s: %s", points.reachedSteps().size(), kind, fault);
        }
        return fault;
    }

    private static void halt(Fault fault) {
        Runtime.getRuntime().halt(EXIT_CODE);
    }

    /** Stops this process with SIGSTOP; returns once another process has sent SIGCONT. */
    private static void stop() {
        try {
            new ProcessBuilder(
                            "kill",
                            "-STOP",
                            Long.toString(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            Log.error("can't stop this process with SIGSTOP, the daemon runs on: %s", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public Disk disk(Disk folder) {
        return new FailPointDisk(folder, this::nextFault, new FailPointDisk.Process() {
            @Override
            public boolean hasEnded() {
                return false;
            }

            @Override
            public void end(Fault fault) {
                halt(fault);
            }
        });
    }

    @Override
    public Scheduler scheduler(Scheduler own) {
        return new Scheduler() {
            @Override
            public long now() {
                return own.now();
            }

            @Override
            public void post(Runnable work) {
                own.post(() -> run(work));
            }

            @Override
            public void after(long micros, Runnable work) {
                own.after(micros, () -> run(work));
            }
        };
    }

    private void run(Runnable work) {
        if (haltsAtNextWork) {
            // The message that DIE_AFTER lets through was handled in the previous run: the process ends now.
            halt(Fault.DIE_AFTER);
        }
        Fault fault = nextFault(StepKind.TIMER);
        if (fault == Fault.STOPPED) {
            stop();
        } else if (fault != null) {
            halt(fault);
        }
        work.run();
    }

    @Override
    public boolean permitsMessage(boolean sent) {
        Fault fault = nextFault(sent ? StepKind.SEND : StepKind.ARRIVE);
        if (fault == Fault.DIE_BEFORE || fault == Fault.POWER_CUT) {
            halt(fault);
        }
        haltsAtNextWork = fault == Fault.DIE_AFTER;
        return fault != Fault.LOST;
    }
}
