"""An emulator of replicas and of the nodes that choose between them, to compare policies.

It runs the product's own load balancer on simulated edges (`quillring.forward`) before replicas
that process prompts as batch engines do, and answers within seconds. `python -m proving.placement`
compares policies over seeds; `python -m proving.ablation` switches mechanisms off one by one.
"""
