/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.bench.proof.world.CallerRecord.Ending;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.call.RunKey;
import org.larkkeel.config.Role;
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;

/**
 * Sends requests as callers do, and repeats those that carry a key until they are answered.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Callers {
  /** The prefix that all prompts share. */
  static final PrefixKeys PREFIXES = new PrefixKeys(ImmutableLongArray.of(1, 2));

  private static final long ONE_WAY = 2 * VirtualTime.MILLI;
  private static final long REPEAT = 2 * VirtualTime.SECOND;
  private static final int REPEATS = 4;
  private static final int PROMPT = 4_000;
  private static final long DIGEST = 7;

  private final World world;
  private final Map<RequestId, Node> entries = new HashMap<>();
  private long requests;

  Callers(World world) {
    this.world = world;
  }

  /** Whether a request is the subject of the run. */
  public enum Part {
    /** Faults are relative to its steps. */
    SUBJECT,
    /** It only runs beside. */
    BYSTANDER,
    /** It shows that the nodes serve again after the faults. */
    PROBE
  }

  /**
   * Sends a completion.
   *
   * @param part its part in the run
   * @param index the node that the balancer prefers
   * @param model the model asked for
   * @return its id
   */
  public RequestId complete(Part part, int index, ModelName model) {
    RequestId id = nextId();
    Call call =
        new Call.Completion(
            id,
            Configurations.WORKSPACE,
            Optional.empty(),
            model,
            PROMPT,
            World.ANSWER_TOKENS,
            PREFIXES,
            0);
    send(part, index, call, "completion-" + id.value(), World.ANSWER_TOKENS);
    return id;
  }

  /**
   * Sends a plain call.
   *
   * @param part its part in the run
   * @param index the node that the balancer prefers
   * @param path the path
   * @return its id
   */
  public RequestId call(Part part, int index, String path) {
    RequestId id = nextId();
    send(part, index, plain(id, path, Optional.empty()), "call-" + id.value(), 1);
    return id;
  }

  /**
   * Sends a plain call that must not run twice under a key, again and again until it is answered.
   *
   * @param part its part in the run
   * @param index the node that the balancer prefers
   * @param key the key
   */
  public void callOnce(Part part, int index, String key) {
    callOnce(part, index, key, REPEATS);
  }

  private void callOnce(Part part, int index, String key, int repeats) {
    RequestId id = nextId();
    RunKey runKey = new RunKey(new IdempotencyKey(key), DIGEST);
    CallerRecord caller = world.seen().caller(id);
    caller.onEnd =
        () -> {
          Ending ending = caller.ends.getFirst().ending();
          boolean answered = ending == Ending.COMPLETE || ending == Ending.REPLAYED;
          if (!answered && repeats > 0 && caller.ends.size() == 1) {
            world.platform().after(REPEAT, () -> callOnce(part, index + 1, key, repeats - 1));
          }
        };
    send(part, index, plain(id, Configurations.ORDER, Optional.of(runKey)), key, 1);
  }

  /**
   * A caller closes its connection.
   *
   * @param request its request
   */
  public void leave(RequestId request) {
    CallerRecord caller = world.seen().caller(request);
    Node node = entries.get(request);
    if (node == null || !caller.isOpen()) {
      return;
    }
    caller.goneAt = world.time().now();
    node.process.execute(() -> node.callerGone(request));
  }

  private static Call plain(RequestId id, String path, Optional<RunKey> key) {
    return new Call.Plain(id, Configurations.WORKSPACE, key, path, false, 0);
  }

  private RequestId nextId() {
    requests++;
    return new RequestId(requests);
  }

  private void send(Part part, int index, Call call, String identity, int pieces) {
    CallerRecord caller = world.seen().caller(call.id());
    caller.identity = identity;
    caller.needs =
        switch (call) {
          case Call.Completion completion -> ImmutableSet.of(Role.PREFILL, Role.DECODE);
          case Call.Plain plain -> ImmutableSet.of(Role.SERVICE);
        };
    caller.expectedPieces = pieces;
    caller.sentAt = world.time().now();
    caller.probe = part == Part.PROBE;
    if (part == Part.SUBJECT) {
      world.addSubject(call.id());
    }
    Node node = pick(index);
    entries.put(call.id(), node);
    node.process.after(ONE_WAY, () -> node.arrive(call, caller));
    world.platform().after(ONE_WAY, () -> refused(node, caller));
  }

  /** No connection can be made to a node that died meanwhile. */
  private void refused(Node node, CallerRecord caller) {
    if (node.process.isDead() && caller.isOpen()) {
      caller.end(Ending.BROKEN, null, world.time().now());
    }
  }

  private Node pick(int index) {
    for (int i = 0; i < World.NODES; i++) {
      Node node = world.node((index + i) % World.NODES);
      if (node.isReady()) {
        return node;
      }
    }
    return world.node(index % World.NODES);
  }
}
