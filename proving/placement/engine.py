"""A replica as a batch engine: slots, prompts processed in chunks in order of arrival, a KV cache.

A step decodes one token of each running request and processes up to `chunk_tokens` of the prompts
that wait, oldest first. Parts of prompts stay in the cache until the least recently used are
evicted; a part is of use only if all parts before it are cached.
"""

from collections import OrderedDict, deque

MOST_MERGED_STEPS = 8
"""Steps without a prompt to process are simulated so many at a time."""
EVENT_TOKENS = 29
"""Tokens in one event of a stream."""
QUEUE_PER_SLOT = 3
"""A replica turns a request away when so many requests a slot wait."""


class EngineRequest:
    """A request at an engine; `on_first_token` and `on_end` are called with the time."""

    __slots__ = (
        "parts",
        "prompt_tokens",
        "output_tokens",
        "on_first_token",
        "on_end",
        "left_tokens",
        "position",
        "is_gone",
        "event_at",
        "longest_gap",
    )

    def __init__(self, parts, prompt_tokens, output_tokens, on_first_token, on_end):
        self.parts = parts
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.on_first_token = on_first_token
        self.on_end = on_end
        self.left_tokens = prompt_tokens
        self.position = 0
        self.is_gone = False
        self.event_at = self.longest_gap = 0.0


class Engine:
    """One replica; `run` is its simpy process."""

    def __init__(self, env, shape, speed, name):
        self.env, self.shape, self.speed, self.name = env, shape, speed, name
        self.waiting = deque()
        self.prefill = deque()
        self.running = []
        self.cache = OrderedDict()
        self.cached_tokens = 0
        self.arrival = env.event()
        self.seen_parts = set()
        self.slow_factor = 1.0
        self.is_down = False
        self.turned_away = 0
        self.processed_tokens = self.reread_tokens = self.hit_tokens = 0

    def submit(self, request):
        """Take a request; return False if the queue is full or the replica is down."""
        if self.is_down or len(self.waiting) >= self.shape.slots * QUEUE_PER_SLOT:
            self.turned_away += 1
            return False
        self.waiting.append(request)
        if not self.arrival.triggered:
            self.arrival.succeed()
        return True

    def crash(self):
        """Lose all requests and the cache."""
        self.is_down = True
        lost = [*self.waiting, *self.prefill, *self.running]
        self.waiting, self.prefill, self.running = deque(), deque(), []
        self.cache, self.cached_tokens = OrderedDict(), 0
        for request in lost:
            request.on_end(self.env.now, False)

    def run(self):
        """Work step by step."""
        while True:
            self._admit()
            if not self.running and not self.prefill:
                self.arrival = self.env.event()
                yield self.arrival
                continue
            yield self.env.timeout(self._step())

    def _admit(self):
        while self.waiting and len(self.running) + len(self.prefill) < self.shape.slots:
            request = self.waiting.popleft()
            request.left_tokens = self._uncached_tokens(request)
            self.prefill.append(request)

    def _uncached_tokens(self, request):
        cached, is_prefix = 0, True
        for name, token_count in request.parts:
            if is_prefix and name in self.cache:
                cached += token_count
                self.hit_tokens += token_count
            else:
                is_prefix = False
                self.reread_tokens += token_count if name in self.seen_parts else 0
        return max(1, request.prompt_tokens - cached)

    def _keep(self, request):
        own = request.prompt_tokens - sum(count for _, count in request.parts)
        rows = [*request.parts, (id(request), own + request.output_tokens)]
        for name, token_count in rows:
            self.cached_tokens += token_count - self.cache.pop(name, 0)
            self.cache[name] = token_count
            self.seen_parts.add(name)
        while self.cached_tokens > self.shape.kv_tokens and self.cache:
            self.cached_tokens -= self.cache.popitem(last=False)[1]

    def _step(self):
        """Do one step and return its seconds; without prompts several steps at once."""
        steps = 1 if self.prefill or self.waiting else self._mergeable_steps()
        seconds = self.shape.step_seconds * steps
        seconds += self._process_prompts()
        seconds *= self.speed * self.slow_factor
        self._decode(steps, self.env.now + seconds)
        return seconds

    def _mergeable_steps(self):
        left = min(request.output_tokens - request.position for request in self.running)
        return max(1, min(MOST_MERGED_STEPS, left))

    def _process_prompts(self):
        budget, seconds = self.shape.chunk_tokens, 0.0
        while self.prefill and budget > 0:
            request = self.prefill[0]
            count = min(budget, request.left_tokens)
            done = request.prompt_tokens - request.left_tokens
            pairs = count * (done + count / 2) / 1e6
            seconds += count / self.shape.prompt_tokens_per_second
            seconds += pairs * self.shape.quadratic_seconds_per_million
            request.left_tokens -= count
            budget -= count
            self.processed_tokens += count
            if request.left_tokens <= 0:
                self.prefill.popleft()
                self._begin(request)
        return seconds

    def _begin(self, request):
        self._keep(request)
        if request.is_gone:
            return
        self.running.append(request)
        request.event_at = self.env.now
        request.on_first_token(self.env.now)

    def _decode(self, steps, ends_at):
        ended = []
        for request in self.running:
            events = request.position // EVENT_TOKENS
            request.position += steps
            if request.position // EVENT_TOKENS > events:
                request.longest_gap = max(request.longest_gap, ends_at - request.event_at)
                request.event_at = ends_at
            if request.position >= request.output_tokens or request.is_gone:
                ended.append(request)
        if ended:
            self.running = [request for request in self.running if request not in ended]
            for request in ended:
                request.on_end(self.env.now, True)
