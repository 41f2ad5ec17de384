package lupinvalve.capacity;

/** Source of a figure. */
public enum Basis {
    /** Measured by a run at this size. */
    MEASURED("measured"),
    /** Computed from measured slopes or sizes, or from the program's own constants, without other assumptions. */
    COMPUTED("computed"),
    /** A run, or a line fitted to runs, of a program changed for the trial, for example with limits removed. */
    TRIAL("trial"),
    /** Depends on a value that was neither stated by the operators nor measured. */
    GUESSED("guessed"),
    /** Can only be measured, and there was no run. */
    NOT_RUN("not run");

    private final String word;

    Basis(String word) {
        this.word = word;
    }

    /** Returns the name used on the page. */
    public String word() {
        return word;
    }
}
