package org.umbermount.kernel;

/** An error of a listed kind with a detail for a person. */
public final class FaultException extends Exception {
    private final ErrorKind erratum;

    public FaultException(ErrorKind erratum, String detail) {
        super(detail);
        this.erratum = erratum;
    }

    public ErrorKind erratum() {
        return erratum;
    }
}
