package lupinvalve.core;

/** The rules by which a protocol's clients write literals, names and comments in SQL text. */
public enum SqlDialect {
    /**
     * PostgreSQL with {@code standard_conforming_strings}: literals in single quotes, with backslash escapes only after
     * {@code E}, and between dollar quotes; a text in double quotes is a name; block comments nest.
     */
    POSTGRESQL,

    /**
     * MySQL without {@code ANSI_QUOTES} and {@code NO_BACKSLASH_ESCAPES}: literals in single or double quotes with
     * backslash escapes, names in back quotes, {@code ?} for placeholders, and comments that hold code ({@code /*!}).
     */
    MYSQL
}
