package org.umbermount.kernel;

/** An error of a listed kind with a detail for a person. */
public final class FaultException extends Exception {
    private final ErrorKind erratum;

    /** Makes an error whose detail, a sentence that names what is wrong, is shown to the caller. */
    public FaultException(ErrorKind erratum, String detail) {
        super(detail);
        this.erratum = erratum;
    }

    /** The kind of error, which decides the status of the answer. */
    public ErrorKind erratum() {
        return erratum;
    }
}
