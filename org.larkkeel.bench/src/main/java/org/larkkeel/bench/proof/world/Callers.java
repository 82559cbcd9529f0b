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
 * Sends requests as callers do, and retries those with an idempotency key until they are answered.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Callers {
  /** The prefix keys that all prompts share. */
  static final PrefixKeys SHARED_PREFIX = new PrefixKeys(ImmutableLongArray.of(1, 2));

  private static final long ONE_WAY_NANOS = 2 * VirtualTime.MILLI;
  private static final long RETRY_DELAY_NANOS = 2 * VirtualTime.SECOND;
  private static final int MAX_RETRIES = 4;
  private static final int PROMPT_TOKENS = 4_000;
  private static final long BODY_DIGEST = 7;

  private final World world;
  private final Map<RequestId, Node> nodes = new HashMap<>();
  private long requests;

  Callers(World world) {
    this.world = world;
  }

  /** The purpose of a request in a run. */
  public enum Purpose {
    /** Faults are injected at the steps of this request. */
    SUBJECT,
    /** The request runs at the same time as the subject; no fault is injected at its steps. */
    BYSTANDER,
    /** The request checks that the nodes serve again after the faults. */
    PROBE
  }

  /**
   * Sends a completion.
   *
   * @param purpose the purpose of the request in the run
   * @param index the index of the node that the load balancer prefers
   * @param model the requested model
   * @return the id of the request
   */
  public RequestId sendCompletion(Purpose purpose, int index, ModelName model) {
    RequestId id = nextId();
    Call call =
        new Call.Completion(
            id,
            Configurations.WORKSPACE,
            Optional.empty(),
            model,
            PROMPT_TOKENS,
            World.ANSWER_TOKENS,
            SHARED_PREFIX,
            0);
    send(purpose, index, call, "completion-" + id.value(), World.ANSWER_TOKENS);
    return id;
  }

  /**
   * Sends a plain call.
   *
   * @param purpose the purpose of the request in the run
   * @param index the index of the node that the load balancer prefers
   * @param path the path
   * @return the id of the request
   */
  public RequestId sendPlain(Purpose purpose, int index, String path) {
    RequestId id = nextId();
    send(purpose, index, plain(id, path, Optional.empty()), "call-" + id.value(), 1);
    return id;
  }

  /**
   * Sends a plain call that must not run twice, with an idempotency key, and retries it until it is
   * answered or the retries are used up.
   *
   * @param purpose the purpose of the request in the run
   * @param index the index of the node that the load balancer prefers
   * @param key the idempotency key
   */
  public void sendKeyed(Purpose purpose, int index, String key) {
    sendKeyed(purpose, index, key, MAX_RETRIES);
  }

  private void sendKeyed(Purpose purpose, int index, String key, int retries) {
    RequestId id = nextId();
    RunKey runKey = new RunKey(new IdempotencyKey(key), BODY_DIGEST);
    CallerRecord caller = world.observations().caller(id);
    caller.onEnd =
        () -> {
          Ending ending = caller.ends.getFirst().ending();
          boolean answered = ending == Ending.COMPLETE || ending == Ending.REPLAYED;
          if (!answered && retries > 0 && caller.ends.size() == 1) {
            world
                .platform()
                .after(RETRY_DELAY_NANOS, () -> sendKeyed(purpose, index + 1, key, retries - 1));
          }
        };
    send(purpose, index, plain(id, Configurations.ORDER, Optional.of(runKey)), key, 1);
  }

  /**
   * Closes the connection of a caller.
   *
   * @param request the request of the caller
   */
  public void disconnect(RequestId request) {
    CallerRecord caller = world.observations().caller(request);
    Node node = nodes.get(request);
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

  private void send(Purpose purpose, int index, Call call, String identity, int pieces) {
    CallerRecord caller = world.observations().caller(call.id());
    caller.identity = identity;
    caller.requiredRoles =
        switch (call) {
          case Call.Completion completion -> ImmutableSet.of(Role.PREFILL, Role.DECODE);
          case Call.Plain plain -> ImmutableSet.of(Role.SERVICE);
        };
    caller.expectedPieces = pieces;
    caller.sentAt = world.time().now();
    caller.probe = purpose == Purpose.PROBE;
    if (purpose == Purpose.SUBJECT) {
      world.addSubject(call.id());
    }
    Node node = chooseNode(index);
    nodes.put(call.id(), node);
    node.process.after(ONE_WAY_NANOS, () -> node.receive(call, caller));
    world.platform().after(ONE_WAY_NANOS, () -> failIfNodeDead(node, caller));
  }

  /** Fails a request whose node died before the request arrived. */
  private void failIfNodeDead(Node node, CallerRecord caller) {
    if (node.process.isDead() && caller.isOpen()) {
      caller.addEnd(Ending.BROKEN, null, world.time().now());
    }
  }

  private Node chooseNode(int index) {
    for (int i = 0; i < World.NODES; i++) {
      Node node = world.node((index + i) % World.NODES);
      if (node.isReady()) {
        return node;
      }
    }
    return world.node(index % World.NODES);
  }
}
