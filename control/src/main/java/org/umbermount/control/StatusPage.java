package org.umbermount.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** The page that shows a controller's state to an operator; other parts add what they know. */
public interface StatusPage {
    void addSection(Consumer<ObjectNode> section);
}
