package lupinvalve.capacity;

/** How a figure is known. */
public enum Basis {
    /** A run at this size gave it. */
    MEASURED("measured"),
    /** It follows from measured slopes or sizes, or from the program's own constants, by arithmetic alone. */
    COMPUTED("computed"),
    /** A run, or a line through runs, of a program that was changed for it: bounds lifted, say. */
    TRIAL("trial"),
    /** Something in it was neither told by the operators nor measured. */
    GUESSED("guessed"),
    /** Only a run could give it, and there was none. */
    NOT_RUN("not run");

    private final String word;

    Basis(String word) {
        this.word = word;
    }

    /** As the page says it. */
    public String word() {
        return word;
    }
}
